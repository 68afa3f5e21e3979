// Package memlimit bounds the memory of things that arrive in pieces from senders which can't be trusted. If the memory runs out,
// the largest incomplete one gives way.
package memlimit
