// Package key computes the published hash of a client account's key.
package key
