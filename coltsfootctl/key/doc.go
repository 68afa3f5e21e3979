// Package key reads a client account's key and returns the form in which it is published.
package key
