// Package retry bounds retries: by an allowance over a whole call chain, and by a budget at each node.
package retry
