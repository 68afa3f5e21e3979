// Package split distributes requests among services by weight.
package split
