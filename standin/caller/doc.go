// Package caller is an open-loop load generator that stands in for the callers of client accounts.
//
// Each account sends by its own seeded Poisson process. Every response is checked against its request, and every
// once-only operation is recorded with what the caller was told, for comparison with the targets' journals.
package caller
