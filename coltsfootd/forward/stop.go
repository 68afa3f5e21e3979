package forward

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

// StopBy makes all attempts from now on end before the time after which this node passes on no responses.
func (s *Sender) StopBy(deadline clock.Millis) {
	s.stopBy.Store(int64(deadline))
}

// mayFinish reports whether a request can be sent now, or only so late that its response can't be passed on. An operation must be
// able to end within its objective, or its outcome would be unknown.
func (s *Sender) mayFinish(class route.Class, objective clock.Millis) bool {
	left := clock.Millis(s.stopBy.Load()) - s.Clock.Now()
	return left > 0 && (class == route.Lookup || left >= objective)
}

// deadline returns the time by which the response to the job must have arrived.
func (s *Sender) deadline(j Job) clock.Millis {
	return min(j.Deadline, clock.Millis(s.stopBy.Load()))
}
