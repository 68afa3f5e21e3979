// Package limits enforces each client account's fleet-wide rate and burst at one node. It issues tokens for the seats
// that the node owns, prefetches tokens of other seats, and serves token requests of other nodes.
package limits
