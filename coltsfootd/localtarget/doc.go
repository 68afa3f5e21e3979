// Package localtarget admits requests to the node's local target and sends them to it. All requests to that target pass through
// it.
package localtarget
