package warmup

import (
	"math/rand/v2"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/targetstatus"
)

const (
	millisPerSecond = 1000
	// firstWithinMs is the time within which an origin may send its first request to a target that it sees cold, so that a target
	// that joins gets requests within four seconds. Each origin loses at most one round trip to a gate that refuses.
	firstWithinMs clock.Millis = 3000
)

// coldTarget is what an origin knows of a target that is or was cold.
type coldTarget struct {
	startedMs, sequence       int64
	listedUntil, repliedUntil clock.Millis
	// warmAt is the time at which a reply ended the warm-up. Entries that were written before may still be received.
	warmAt clock.Millis
	// nextAt is the time from which the origin may send the next request.
	nextAt clock.Millis
}

// Share spaces the requests of one origin to cold targets. It is not safe for concurrent use.
type Share struct {
	random  *rand.Rand
	targets map[string]*coldTarget
}

// NewShare returns a share without cold targets.
func NewShare(random *rand.Rand) *Share {
	return &Share{random: random, targets: make(map[string]*coldTarget)}
}

// Len returns the number of targets of which something is kept.
func (s *Share) Len() int {
	return len(s.targets)
}

// Knows reports whether something is kept of the target.
func (s *Share) Knows(target string) bool {
	return s.targets[target] != nil
}

// Listed applies the remaining warm-up time in a target's entry, whose report has the sequence number. It counts from the receipt
// of the report.
func (s *Share) Listed(l targetstatus.Lifetime, sequence int64, coldMs, interval, now clock.Millis) {
	known := s.targets[l.Target]
	if known != nil && known.startedMs == l.StartedMs && known.sequence == sequence && sequence != 0 {
		return
	}
	if coldMs <= 0 {
		if known != nil {
			known.sequence, known.listedUntil = sequence, 0
			s.drop(l.Target, now)
		}
		return
	}
	if known != nil && known.startedMs == l.StartedMs && known.warmedRecently(now) {
		return
	}
	c := s.target(l, interval, now)
	c.sequence, c.listedUntil = sequence, now+coldMs
}

// Replied applies the remaining warm-up time in a reply. A reply without one ends what the replies and the entry have said, if
// an earlier reply had one: the node beside the target knows better than the list. Nodes of older versions never send one.
func (s *Share) Replied(l targetstatus.Lifetime, coldMs, interval, now clock.Millis) {
	if coldMs > 0 {
		s.target(l, interval, now).repliedUntil = now + coldMs
		return
	}
	if c := s.targets[l.Target]; c != nil && c.repliedUntil > 0 {
		c.listedUntil, c.repliedUntil, c.warmAt = 0, 0, now
	}
}

// target returns the record of a target that is cold.
func (s *Share) target(l targetstatus.Lifetime, interval, now clock.Millis) *coldTarget {
	c := s.targets[l.Target]
	if c == nil || c.startedMs < l.StartedMs || !c.cold(now) {
		sequence := int64(0)
		if c != nil && c.startedMs == l.StartedMs {
			sequence = c.sequence
		}
		first := min(interval, firstWithinMs)
		c = &coldTarget{startedMs: l.StartedMs, sequence: sequence, nextAt: now + clock.Millis(s.random.Float64()*float64(first))}
		s.targets[l.Target] = c
	}
	return c
}

func (c *coldTarget) cold(now clock.Millis) bool {
	return now < max(c.listedUntil, c.repliedUntil)
}

func (c *coldTarget) warmedRecently(now clock.Millis) bool {
	return c.warmAt != 0 && now-c.warmAt < listDelayMs
}

// Cold reports whether the origin sees the target as cold.
func (s *Share) Cold(l targetstatus.Lifetime, now clock.Millis) bool {
	c := s.targets[l.Target]
	return c != nil && c.startedMs >= l.StartedMs && c.cold(now)
}

// Due reports whether the target is warm or the origin may send it a request now.
func (s *Share) Due(l targetstatus.Lifetime, now clock.Millis) bool {
	c := s.targets[l.Target]
	return c == nil || now >= c.nextAt || c.startedMs < l.StartedMs || !c.cold(now)
}

// Sent records that the origin sends a request to a target. The next one may follow after the interval.
func (s *Share) Sent(target string, interval, now clock.Millis) {
	if c := s.targets[target]; c != nil {
		c.nextAt = now + interval
	}
}

// DropWarm removes the targets that are warm.
func (s *Share) DropWarm(now clock.Millis) {
	for target := range s.targets {
		s.drop(target, now)
	}
}

func (s *Share) drop(target string, now clock.Millis) {
	if c := s.targets[target]; !c.cold(now) && !c.warmedRecently(now) {
		delete(s.targets, target)
	}
}

// Interval returns the time between two requests of one of the nodes to a cold target that tolerates the rate.
func Interval(perSecond float64, nodes int) clock.Millis {
	if perSecond <= 0 {
		return 0
	}
	return clock.Millis(float64(max(1, nodes)) * millisPerSecond / perSecond)
}
