package quota

import "coltsfootusher.example/core/clock"

// idleMs is the time without a draw after which a bucket is forgotten. A bucket that is made anew fills from the last
// move of the ownership, as the forgotten one would have.
const idleMs clock.Millis = 60_000

// Position is what a node knows of its place in the fleet.
type Position struct {
	// Reached is the number of nodes that may draw here, and Total that of the fleet. Each node holds an equal part of every
	// rate, and the owner of a bucket has the parts of the nodes that it reaches: owners on two sides of a cut together
	// grant no more than the rate.
	Reached, Total int
	// MovedAt is the last time at which the ownership of buckets may have moved.
	MovedAt clock.Millis
}

func (p Position) part() float64 {
	return float64(min(max(1, p.Reached), p.Total)) / float64(max(1, p.Total))
}

// Holder has the buckets that one node owns. It is not safe for concurrent use.
type Holder struct {
	buckets map[string]*Owned
}

// NewHolder returns a holder without buckets.
func NewHolder() *Holder {
	return &Holder{buckets: make(map[string]*Owned)}
}

// Take serves a draw from the bucket with the name, which holds this node's part of the rate. It returns the tokens and
// the time until the next one is there.
func (h *Holder) Take(name string, d Draw, rate Rate, p Position, now clock.Millis) (granted int, waitMs clock.Millis) {
	part := rate.Part(p.part())
	b := h.buckets[name]
	if b == nil {
		b = NewOwned(part, p.MovedAt, now)
		h.buckets[name] = b
	}
	return b.Take(d, part, p.MovedAt, now)
}

// Forget drops the buckets from which nothing was drawn for long.
func (h *Holder) Forget(now clock.Millis) {
	for name, b := range h.buckets {
		if now-b.lastUsed >= idleMs {
			delete(h.buckets, name)
		}
	}
}
