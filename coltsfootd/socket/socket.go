package socket

import (
	"expvar"
	"sync/atomic"
)

const (
	// usableShare is the fraction of the file descriptors that connections may use. Files and listeners get the rest.
	usableShare = 0.9
	// nearlyExhaustedShare is the fraction of the usable descriptors above which the process must not take on more connections.
	nearlyExhaustedShare = 0.85
	// queueDivisor, peerIdleDivisor and targetIdleDivisor give the fractions of the usable descriptors for requests that wait at
	// the gate, for idle connections to all peers together, and for idle connections to the target.
	queueDivisor      = 8
	peerIdleDivisor   = 8
	targetIdleDivisor = 16
	// minIdlePerPeer allows one connection for each direction of the exchange between two nodes.
	minIdlePerPeer = 2
)

// Budget counts the open connections against the number of file descriptors. It is safe for concurrent use.
type Budget struct {
	usable int
	open   atomic.Int64
}

// NewBudget returns a budget for a process that may open the given number of files.
func NewBudget(files int) *Budget {
	return &Budget{usable: int(usableShare * float64(files))}
}

// Opened counts a connection that was opened or accepted.
func (b *Budget) Opened() {
	b.open.Add(1)
}

// Closed counts a connection that was closed.
func (b *Budget) Closed() {
	b.open.Add(-1)
}

// OpenCount returns the number of open connections.
func (b *Budget) OpenCount() int {
	return int(b.open.Load())
}

// NearlyExhausted reports whether file descriptors are about to run out. Connections are then closed after their responses, and
// lookups are refused: a process that can't accept connections can't be reached, and those that it accepts later are from callers
// that have already left.
func (b *Budget) NearlyExhausted() bool {
	return float64(b.open.Load()) > nearlyExhaustedShare*float64(b.usable)
}

// MaxQueued returns the number of requests that may wait at the gate. Each holds the connection on which it arrived.
func (b *Budget) MaxQueued() int {
	return b.usable / queueDivisor
}

// MaxIdlePerPeer returns the number of idle connections to keep to each of the given number of peers.
func (b *Budget) MaxIdlePerPeer(peers int) int {
	return max(minIdlePerPeer, b.usable/peerIdleDivisor/max(1, peers))
}

// MaxIdleToTarget returns the number of idle connections to keep to the target.
func (b *Budget) MaxIdleToTarget() int {
	return max(1, b.usable/targetIdleDivisor)
}

// MaxIdleConnections returns the number of idle connections to keep to all peers and to the target together.
func (b *Budget) MaxIdleConnections() int {
	return b.usable/peerIdleDivisor + b.MaxIdleToTarget()
}

// Share returns the number of connections in a share of the usable descriptors.
func (b *Budget) Share(share float64) int {
	return int(share * float64(b.usable))
}

// Publish exports the number of open connections as a metric.
func (b *Budget) Publish(metrics *expvar.Map) {
	metrics.Set("openConnections", expvar.Func(func() any { return b.OpenCount() }))
}
