package logging

import "coltsfootusher.example/core/clock"

const throttlePeriodMs clock.Millis = 1000

// Throttle limits the lines of one kind that are logged per second. It is not safe for concurrent use.
type Throttle struct {
	perSecond int
	startedAt clock.Millis
	lines     int
}

// NewThrottle returns a throttle that allows a number of lines per second.
func NewThrottle(perSecond int) Throttle {
	return Throttle{perSecond: perSecond}
}

// Allow reports whether another line may be logged now.
func (t *Throttle) Allow(now clock.Millis) bool {
	if now-t.startedAt >= throttlePeriodMs {
		t.startedAt, t.lines = now, 0
	}
	t.lines++
	return t.lines <= t.perSecond
}
