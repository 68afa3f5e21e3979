package freshness

import (
	"math/bits"

	"coltsfootusher.example/core/clock"
)

// Lease says until when a node may act on published state that it can't verify at the moment.
//
// A confirmation counts from the time at which the request for it was sent, so that a value which was replaced while
// the answer was under way is never taken as newer than it is. Times come from a clock that also runs while the machine
// is suspended. The zero value has never been confirmed.
type Lease struct {
	version     int64
	confirmedAt clock.Millis
	confirmed   bool
}

// Confirm records that version was the newest one at the time sentAt. An older version or an older confirmation changes
// nothing; it reports whether the lease was extended.
func (l *Lease) Confirm(version int64, sentAt clock.Millis) bool {
	if l.confirmed && (version < l.version || sentAt <= l.confirmedAt) {
		return false
	}
	l.version = version
	l.confirmedAt = sentAt
	l.confirmed = true
	return true
}

// Version returns the version that was confirmed last, 0 if none was.
func (l *Lease) Version() int64 {
	return l.version
}

// Age returns the time since the last confirmation, or clock.Never.
func (l *Lease) Age(now clock.Millis) clock.Millis {
	if !l.confirmed {
		return clock.Never
	}
	return max(0, now-l.confirmedAt)
}

// Schedule decides when a node refreshes its lease and from whom.
//
// The nodes of a fleet that reach each other are ranked. The first reads the platform, the first of each failure domain asks
// it, and the others ask the first of their domain. Further ranks read the platform when the confirmations that they get
// have become old, so that a reader that fails is replaced without an election: first one node, then twice as many with
// each step.
type Schedule struct {
	// ReadEveryMs is the age of the confirmation at which the first rank reads the platform.
	ReadEveryMs clock.Millis
	// AskEveryMs is the age at which the other ranks ask a peer.
	AskEveryMs clock.Millis
	// TakeoverMs is the age at which the second rank reads the platform; each doubling of the rank adds RankStepMs.
	TakeoverMs clock.Millis
	RankStepMs clock.Millis
}

const (
	// maxRankSteps bounds the wait of the last ranks, since each of them must read the platform before its lease ends.
	maxRankSteps = 8
	// readPropagationMs is the time that a confirmation needs from the platform through the first rank.
	readPropagationMs clock.Millis = 100
	// minAskIntervalMs is the shortest pause between two questions.
	minAskIntervalMs clock.Millis = 100
)

// ReadDue reports whether the node of the rank reads the platform now; a rank below 0 counts as the first.
func (s Schedule) ReadDue(rank int, age clock.Millis) bool {
	if rank <= 0 {
		return age >= s.ReadEveryMs
	}
	steps := min(bits.Len(uint(rank))-1, maxRankSteps)
	return age >= s.TakeoverMs+clock.Millis(steps)*s.RankStepMs
}

// AskDue reports whether the node of the rank asks a peer now. The first rank asks only when its own reads fail.
func (s Schedule) AskDue(rank int, age clock.Millis) bool {
	if rank <= 0 {
		return age >= s.TakeoverMs
	}
	return age >= s.AskEveryMs
}

// NextAskDelay returns the pause after a question that brought a confirmation of an age: the next one is there when the first
// rank has read the platform again.
func (s Schedule) NextAskDelay(age clock.Millis) clock.Millis {
	return max(minAskIntervalMs, s.ReadEveryMs+readPropagationMs-age)
}
