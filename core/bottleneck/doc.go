// Package bottleneck finds the service that limits a call chain, and keeps its capacity for the requests that matter most: while
// the service is short of capacity, fewer lookups are admitted at their origin if their chains use it, lowest rank first.
package bottleneck
