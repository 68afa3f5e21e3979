// Package call defines the context of a call between nodes, its result and the reasons for refusals.
package call
