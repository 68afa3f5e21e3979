package freshness

import (
	"math/bits"

	"coltsfootusher.example/core/clock"
)

// Lease determines for how long a node may act on published state that it can't verify at the moment.
//
// A confirmation counts from the time at which the request for it was sent. A value that was replaced while the response
// was in flight is therefore never considered fresher than it is. The times come from a clock that keeps running while
// the machine is suspended. The zero value has never been confirmed.
type Lease struct {
	version     int64
	confirmedAt clock.Millis
	confirmed   bool
}

// Confirm records that version was the latest at sentAt, and reports whether this extended the lease. An older version or
// an older confirmation changes nothing.
func (l *Lease) Confirm(version int64, sentAt clock.Millis) bool {
	if l.confirmed && (version < l.version || sentAt <= l.confirmedAt) {
		return false
	}
	l.version = version
	l.confirmedAt = sentAt
	l.confirmed = true
	return true
}

// Version returns the version that was confirmed last, or 0 if none was.
func (l *Lease) Version() int64 {
	return l.version
}

// Age returns the time since the last confirmation, or clock.Never if there was none.
func (l *Lease) Age(now clock.Millis) clock.Millis {
	if !l.confirmed {
		return clock.Never
	}
	return max(0, now-l.confirmedAt)
}

// Schedule decides when a node refreshes its lease, and from where.
//
// The nodes that reach each other are ranked. The first rank of the fleet reads the platform, the first node of each
// failure domain asks that node, and the others ask the first node of their domain. Nodes of further ranks read the
// platform themselves when the confirmations that they get become too old, so that a failed reader is replaced without an
// election. First one node does so, then twice as many with each step.
type Schedule struct {
	// ReadEveryMs is the age of the confirmation at which the first rank reads the platform.
	ReadEveryMs clock.Millis
	// AskEveryMs is the age of the confirmation at which the other ranks ask a peer.
	AskEveryMs clock.Millis
	// TakeoverMs is the age at which the second rank reads the platform; each doubling of the rank adds RankStepMs.
	TakeoverMs clock.Millis
	RankStepMs clock.Millis
}

const (
	// maxRankSteps bounds the delay of the last ranks, because each of them must read the platform before its lease expires.
	maxRankSteps = 8
	// readPropagationMs is the time that a confirmation takes from the platform through the first rank.
	readPropagationMs clock.Millis = 100
	// minAskIntervalMs is the shortest interval between two requests to a peer.
	minAskIntervalMs clock.Millis = 100
)

// ReadDue reports whether a node of this rank must read the platform now. A negative rank counts as the first one.
func (s Schedule) ReadDue(rank int, age clock.Millis) bool {
	if rank <= 0 {
		return age >= s.ReadEveryMs
	}
	steps := min(bits.Len(uint(rank))-1, maxRankSteps)
	return age >= s.TakeoverMs+clock.Millis(steps)*s.RankStepMs
}

// AskDue reports whether a node of this rank must ask a peer now. The first rank only does so if its own reads fail.
func (s Schedule) AskDue(rank int, age clock.Millis) bool {
	if rank <= 0 {
		return age >= s.TakeoverMs
	}
	return age >= s.AskEveryMs
}

// NextAskDelay returns how long to wait after a request to a peer that returned a confirmation of the given age. The next
// confirmation is available when the first rank has read the platform again.
func (s Schedule) NextAskDelay(age clock.Millis) clock.Millis {
	return max(minAskIntervalMs, s.ReadEveryMs+readPropagationMs-age)
}
