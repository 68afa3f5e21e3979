// Package clock holds the time type of the core, in milliseconds, and the clocks that provide it.
package clock
