// Package integration holds tests with real processes.
package integration
