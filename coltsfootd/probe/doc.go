// Package probe finds out whether a process listens on an address.
package probe
