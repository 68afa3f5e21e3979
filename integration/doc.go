// Package integration tests whole fleets of real processes.
package integration
