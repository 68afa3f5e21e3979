// Package looptest chooses loopback addresses for tests that start nodes.
package looptest
