// Package operations runs non-idempotent operations at most once. The node that may run an operation, its home, records
// the outcome and hands its records over to successors when it leaves.
package operations
