// Package dispatch defines the messages between two nodes for a request: the context that a node sends to the node beside
// the target, and the reply.
package dispatch
