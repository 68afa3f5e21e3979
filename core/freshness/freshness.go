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
// election. First one node does so, then twice as many with each step. A reader that the platform turns away without an answer
// notices nothing for as long as its call lasts, so the replacement doesn't depend on it.
type Schedule struct {
	// ReadEveryMs is the age of the confirmation at which the first rank reads the platform.
	ReadEveryMs clock.Millis
	// LateAskEveryMs takes the place of ReadEveryMs in the delay between two requests of a late rank to its peers.
	LateAskEveryMs clock.Millis
	// TakeoverMs is the age at which the second rank reads the platform; each doubling of the rank adds RankStepMs.
	TakeoverMs clock.Millis
	RankStepMs clock.Millis
	// LateTakeoverMs is added for late ranks, because their confirmations are older.
	LateTakeoverMs clock.Millis
}

// DefaultSchedule returns the schedule of the nodes. It replaces readers that the platform turns away early enough for a change
// to be in force on all other nodes within the operators' bound, and refreshes the confirmation of the policy several times
// within a lease of a few seconds.
func DefaultSchedule() Schedule {
	return Schedule{ReadEveryMs: 500, LateAskEveryMs: 1000, TakeoverMs: 800, RankStepMs: 60, LateTakeoverMs: 200}
}

const (
	// lateRank is the first of the late ranks, which read the platform only if all before them fail. They ask their peers less
	// often, so that the load on the peers of a large fleet stays low.
	lateRank = 32
	// ranksPerMs limits how many nodes begin to read per millisecond when no rank has succeeded.
	ranksPerMs = 4
	// readPropagationMs is the time that a confirmation takes from the platform through the first rank.
	readPropagationMs clock.Millis = 100
	// minAskIntervalMs is the shortest interval between two requests to a peer.
	minAskIntervalMs clock.Millis = 100
)

// ReadDue reports whether a node of this rank must read the platform now.
func (s Schedule) ReadDue(rank int, age clock.Millis) bool {
	return age >= s.ReadAge(rank)
}

// ReadAge returns the age of the confirmation at which a node of this rank reads the platform. A negative rank counts as the
// first one.
func (s Schedule) ReadAge(rank int) clock.Millis {
	if rank <= 0 {
		return s.ReadEveryMs
	}
	age := s.TakeoverMs + clock.Millis(bits.Len(uint(rank))-1)*s.RankStepMs + clock.Millis(rank/ranksPerMs)
	if rank >= lateRank {
		age += s.LateTakeoverMs
	}
	return age
}

// AskDue reports whether a node of this rank must ask a peer now. The first rank only does so if its own reads fail.
func (s Schedule) AskDue(rank int, age clock.Millis) bool {
	if rank <= 0 {
		return age >= s.TakeoverMs
	}
	return age >= s.askEveryMs(rank)
}

func (s Schedule) askEveryMs(rank int) clock.Millis {
	if rank >= lateRank {
		return s.LateAskEveryMs
	}
	return s.ReadEveryMs
}

// NextAskDelay returns how long a node of this rank waits after a request to a peer that returned a confirmation of the given
// age. The next confirmation is available when the first rank has read the platform again.
func (s Schedule) NextAskDelay(rank int, age clock.Millis) clock.Millis {
	return max(minAskIntervalMs, s.askEveryMs(rank)+readPropagationMs-age)
}
