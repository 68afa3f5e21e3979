package quota

import "coltsfootusher.example/core/clock"

// idleTimeoutMs is the time without a draw after which a bucket is forgotten. A bucket that is made anew fills from the last
// move of the ownership, as the forgotten one would have.
const idleTimeoutMs clock.Millis = 60_000

// Reachability is what a node knows of its place in the fleet.
type Reachability struct {
	// ReachableNodes is the number of nodes that may draw here, and TotalNodes that of the fleet. Each node holds an equal
	// share of every rate, and the owner of a bucket has the shares of the nodes that it reaches: owners on the two sides of
	// a network partition together grant no more than the rate.
	ReachableNodes, TotalNodes int
	// OwnershipMovedAt is the last time at which the ownership of buckets may have moved.
	OwnershipMovedAt clock.Millis
}

func (p Reachability) share() float64 {
	return float64(min(max(1, p.ReachableNodes), p.TotalNodes)) / float64(max(1, p.TotalNodes))
}

// OwnedBuckets has the buckets that one node owns. It is not safe for concurrent use.
type OwnedBuckets struct {
	buckets map[string]*OwnedBucket
}

// NewOwnedBuckets returns a holder without buckets.
func NewOwnedBuckets() *OwnedBuckets {
	return &OwnedBuckets{buckets: make(map[string]*OwnedBucket)}
}

// Take serves a draw from the bucket with the name, which holds this node's part of the rate. It returns the tokens and
// the time until the next one is there.
func (h *OwnedBuckets) Take(name string, d Draw, rate Rate, p Reachability, now clock.Millis) (granted int, waitMs clock.Millis) {
	part := rate.Scale(p.share())
	b := h.buckets[name]
	if b == nil {
		b = NewOwnedBucket(part, p.OwnershipMovedAt, now)
		h.buckets[name] = b
	}
	return b.Take(d, part, p.OwnershipMovedAt, now)
}

// DropIdle drops the buckets from which nothing was drawn for long.
func (h *OwnedBuckets) DropIdle(now clock.Millis) {
	for name, b := range h.buckets {
		if now-b.lastUsed >= idleTimeoutMs {
			delete(h.buckets, name)
		}
	}
}
