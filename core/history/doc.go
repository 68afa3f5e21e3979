// Package history orders the states of a publisher whose store can be restored from a copy.
package history
