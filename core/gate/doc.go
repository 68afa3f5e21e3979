// Package gate decides which calls run at a target, which wait and which are refused.
//
// A Gate is not safe for concurrent use; its owner guards it with a mutex.
package gate
