package quota

import "coltsfootusher.example/core/clock"

// idleTimeoutMs is the time without a draw after which a bucket is removed. A bucket that is created anew fills from the
// last move of the ownership, as the removed one would have.
const idleTimeoutMs clock.Millis = 60_000

// Reachability tells how much of the fleet a node reaches.
type Reachability struct {
	// ReachableNodes is the number of nodes that may draw here, and TotalNodes the number of all nodes of the fleet. Each
	// node contributes an equal share of every rate, and the owner of a bucket gets the shares of the nodes that it reaches.
	// The owners on the two sides of a network partition together therefore grant no more than the rate.
	ReachableNodes, TotalNodes int
	// OwnershipMovedAt is the last time at which the ownership of buckets may have moved.
	OwnershipMovedAt clock.Millis
}

func (r Reachability) share() float64 {
	return float64(min(max(1, r.ReachableNodes), r.TotalNodes)) / float64(max(1, r.TotalNodes))
}

// OwnedBuckets holds the buckets that one node owns. It is not safe for concurrent use.
type OwnedBuckets struct {
	buckets map[string]*OwnedBucket
}

// NewOwnedBuckets returns an empty collection of buckets.
func NewOwnedBuckets() *OwnedBuckets {
	return &OwnedBuckets{buckets: make(map[string]*OwnedBucket)}
}

// Take serves a draw from the named bucket, which holds the share of the rate for the reachable nodes. It returns the
// number of tokens granted and the time until the next one is available.
func (o *OwnedBuckets) Take(name string, d Draw, rate Rate, r Reachability, now clock.Millis) (granted int, waitMs clock.Millis) {
	share := rate.Scale(r.share())
	b := o.buckets[name]
	if b == nil {
		b = NewOwnedBucket(share, r.OwnershipMovedAt, now)
		o.buckets[name] = b
	}
	return b.Take(d, share, r.OwnershipMovedAt, now)
}

// DropIdle removes the buckets that have not been used for idleTimeoutMs.
func (o *OwnedBuckets) DropIdle(now clock.Millis) {
	for name, b := range o.buckets {
		if now-b.lastUsedAt >= idleTimeoutMs {
			delete(o.buckets, name)
		}
	}
}
