package intake

import (
	"math"
	"math/rand/v2"
	"sync"

	"coltsfootusher.example/core/clock"
)

const (
	// halfLifeMs is the time in which counted calls lose half of their number.
	halfLifeMs = 500
	// cautiousFactor is the number of calls sent on per accepted one while a fifth of them or more fail half-way, probingFactor that
	// while none does: a refusal at the first gate costs little, and the share must grow soon after a shortage.
	cautiousFactor = 1.2
	probingFactor  = 2.0
	// cautiousAboveShare is the part of the calls that fail half-way above which the steady factor applies.
	cautiousAboveShare = 0.2
	// toleratedRefusals is the number of failures, among the counted calls, that are taken for chance.
	toleratedRefusals = 1
	// minAdmittedShare keeps some calls going, which show when there is room again.
	minAdmittedShare = 0.05
	// delayedRetryFactor is how much more likely a call is sent on whose caller has come back after a refusal.
	delayedRetryFactor = 4
	// minRetryDelayMs is the part of its time that a caller must have used up to count as having come back. Callers that repeat at
	// once have used less.
	minRetryDelayMs clock.Millis = 150
	// timeoutDecayPerCall is the part by which the longest time that callers of a route give is forgotten with each call.
	timeoutDecayPerCall = 0.001
	// maxRoutes bounds the memory; calls of further routes are sent on.
	maxRoutes = 4096
	// maxIdleCalls is the number of counted calls below which a route counts as idle.
	maxIdleCalls = 0.01
)

// Call is a lookup that asks to be sent on.
type Call struct {
	Route string
	// TimeoutMs is the time that its caller still waits; 0 if unknown.
	TimeoutMs clock.Millis
}

// Outcome says what became of a call that was sent on.
type Outcome int

// The ends of a call.
const (
	// Accepted means that the call found room, whatever its result.
	Accepted Outcome = iota
	// Refused means that the first service had no room, so that no work was done.
	Refused
	// RefusedDownstream means that a service further down had no room, so that the work before was lost.
	RefusedDownstream
)

// Controller holds the share of the calls of each route that is sent on: somewhat more than were accepted lately. Work is
// refused so before it has used the services in front of the one that is short. It is safe for concurrent use.
//
// It trusts the outcome of this node's own calls, which is as old as their latency. With few calls it adapts slowly.
type Controller struct {
	mu     sync.Mutex
	random *rand.Rand
	routes map[string]*routeCounts
}

// routeCounts counts the calls of a route, decayed with time.
type routeCounts struct {
	// offered are the calls that finished or were not sent on, finished those that finished, accepted those that found room,
	// and refusedDownstream those that failed half-way.
	offered, finished, accepted, refusedDownstream float64
	// arrived are the calls that arrived to be sent on, delayedRetries those among them whose callers had come delayedRetries.
	arrived, delayedRetries float64
	updated                 clock.Millis
	// longestTimeoutMs is about the longest time that callers of the route give.
	longestTimeoutMs float64
}

// New returns a controller that sends every call on.
func New(random *rand.Rand) *Controller {
	return &Controller{random: random, routes: make(map[string]*routeCounts)}
}

// Admit reports whether the call may be sent on.
func (c *Controller) Admit(call Call, now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.routeCounts(call.Route, now)
	if s == nil {
		return true
	}
	if part := s.admitShare(s.isDelayedRetry(call)); part < 1 && c.random.Float64() >= part {
		s.offered++
		return false
	}
	return true
}

// Done counts the end of a call of the route that was sent on.
func (c *Controller) Done(route string, end Outcome, now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.routes[route]
	if s == nil {
		return
	}
	s.decay(now)
	s.offered++
	s.finished++
	switch end {
	case Accepted:
		s.accepted++
	case RefusedDownstream:
		s.refusedDownstream++
	case Refused:
	}
}

// AdmittedShare returns the part of the route's calls that is sent on.
func (c *Controller) AdmittedShare(route string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s := c.routes[route]; s != nil {
		return s.admittedShare()
	}
	return 1
}

// dropIdleRoutes drops the routes without calls.
func (c *Controller) dropIdleRoutes(now clock.Millis) {
	for name, s := range c.routes {
		if s.decay(now); s.arrived < maxIdleCalls {
			delete(c.routes, name)
		}
	}
}

func (c *Controller) routeCounts(name string, now clock.Millis) *routeCounts {
	s := c.routes[name]
	if s == nil && len(c.routes) >= maxRoutes {
		c.dropIdleRoutes(now)
	}
	if s == nil && len(c.routes) < maxRoutes {
		s = &routeCounts{updated: now}
		c.routes[name] = s
	}
	if s != nil {
		s.decay(now)
	}
	return s
}

// isDelayedRetry reports whether the caller has less time left than callers of the route have at first, as after a refusal whose
// advice it followed.
func (s *routeCounts) isDelayedRetry(call Call) bool {
	if call.TimeoutMs <= 0 {
		return false
	}
	s.longestTimeoutMs = max(s.longestTimeoutMs*(1-timeoutDecayPerCall), float64(call.TimeoutMs))
	return float64(call.TimeoutMs+minRetryDelayMs) <= s.longestTimeoutMs
}

// admitShare returns the part of the calls that is sent on, of callers that came back or of the others. The mean over both is
// that of all calls.
func (s *routeCounts) admitShare(back bool) float64 {
	s.arrived++
	if back {
		s.delayedRetries++
	}
	part, backPart := s.admittedShare(), s.delayedRetries/s.arrived
	favoured := min(1, delayedRetryFactor*part/(1+backPart*(delayedRetryFactor-1)))
	if back || backPart >= 1 {
		return favoured
	}
	return max(0, part-backPart*favoured) / (1 - backPart)
}

// admittedShare returns the admittedShare of the calls that is sent on.
func (s *routeCounts) admittedShare() float64 {
	if s.offered <= 0 || s.finished <= 0 {
		return 1
	}
	steady := min(1, s.refusedDownstream/s.finished/cautiousAboveShare)
	factor := probingFactor + steady*(cautiousFactor-probingFactor)
	return min(1, max(minAdmittedShare, (factor*s.accepted+toleratedRefusals)/s.offered))
}

func (s *routeCounts) decay(now clock.Millis) {
	elapsed := float64(now - s.updated)
	if elapsed <= 0 {
		return
	}
	left := math.Exp2(-elapsed / halfLifeMs)
	s.offered *= left
	s.finished *= left
	s.accepted *= left
	s.refusedDownstream *= left
	s.arrived *= left
	s.delayedRetries *= left
	s.updated = now
}
