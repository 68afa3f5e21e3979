// Package fleetfile reads the files that describe a whole fleet for demo, bench and integration tests.
package fleetfile
