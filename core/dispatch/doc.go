// Package dispatch holds the context of a request that one node hands to the node beside a target, and the reply.
package dispatch
