// Package retry limits retries: an allowance bounds them over a whole call chain, and a budget bounds them at each node.
package retry
