// Package operations runs once-only operations at most once.
package operations
