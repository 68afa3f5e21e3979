// Package status compares the states of nodes and prints them.
package status
