// Package split distributes the requests of a route among services by weight.
package split
