// Package capacity measures how the cost of the core and of the codecs grows with the size of a fleet.
package capacity
