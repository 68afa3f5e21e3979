package localtarget

import (
	"maps"
	"sync"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
)

// startMarginMs is the time by which a waiting request of a stopping node must be able to end before the deadline. The estimate
// at the gate is a mean, which about half of the requests exceed.
const startMarginMs clock.Millis = 250

// senderDeadlines holds the times after which stopping nodes can't pass on responses any more.
type senderDeadlines struct {
	mu       sync.Mutex
	bySender map[uint64]clock.Millis
	// all is the deadline for the requests of all senders; it is set when this node stops.
	all clock.Millis
}

// set records the deadline of a sender, or of gate.AnySender, and drops those that have passed.
func (s *senderDeadlines) set(sender uint64, deadline, now clock.Millis) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if sender == gate.AnySender {
		s.all = deadline
		return
	}
	if s.bySender == nil {
		s.bySender = make(map[uint64]clock.Millis)
	}
	maps.DeleteFunc(s.bySender, func(_ uint64, other clock.Millis) bool { return other < now })
	s.bySender[sender] = deadline
}

// limit returns the deadline of a request, or the one of its sender if that is earlier.
func (s *senderDeadlines) limit(sender uint64, deadline clock.Millis) clock.Millis {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.all > 0 {
		deadline = min(deadline, s.all)
	}
	if limit, ok := s.bySender[sender]; ok {
		deadline = min(deadline, limit)
	}
	return deadline
}

// LimitSender makes the requests of a stopping node, or of all nodes for gate.AnySender, end before the deadline, after which
// their responses can't be passed on. Those that wait at the gate are refused as soon as they can't finish in time.
func (r *Runner) LimitSender(sender uint64, deadline clock.Millis) {
	r.senderDeadlines.set(sender, deadline, r.Clock.Now())
	r.Admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		return g.LimitDeadlines(sender, deadline-startMarginMs, now)
	})
}
