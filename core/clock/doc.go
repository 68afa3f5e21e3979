// Package clock defines the millisecond time type of the core packages and the clocks that return it.
package clock
