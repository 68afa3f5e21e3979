// Package preview holds the answer to the question where a node would send a request now, and why.
package preview
