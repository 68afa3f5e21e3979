// Package gate is the admission control for a target: it decides which calls run, which wait in a queue and which are refused.
//
// Waiting calls are ordered by rank: non-idempotent calls before lookups, and lookups by depth, the deepest inner calls first,
// because work is lost when an inner call fails. Within a rank, client accounts share the slots by weight.
//
// A Gate is not safe for concurrent use; its owner must hold a mutex.
package gate
