// Package operation holds the identifiers of once-only operations and the table in which their home keeps the outcomes.
package operation
