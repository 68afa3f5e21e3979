// Package operation implements the identifiers of once-only operations and the table in which their home node records
// the outcomes.
package operation
