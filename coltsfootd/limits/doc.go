// Package limits applies each client account's rate and burst over the whole fleet at one node: it mints tokens for
// the seats that the node owns, draws tokens of other seats ahead of demand, and serves the draws of other nodes.
package limits
