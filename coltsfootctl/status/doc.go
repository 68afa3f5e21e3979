// Package status compares and prints the status of nodes.
package status
