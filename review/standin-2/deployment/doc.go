// Package deployment runs a small deployment on loopback addresses: nodes as separate processes, and stand-ins for the store, the
// backends and the clients of the users' platform.
package deployment
