package bottleneck

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
)

const (
	simulationSeed = 11
	origins        = 20
	// slots, callMs and queueLimit describe the deep service, waitLimitMs is the longest wait for a slot.
	slots       = 60
	callMs      = 50
	queueLimit  = 4 * slots
	waitLimitMs = 250
	// lookupCalls and operationCalls are the numbers of calls to the deep service that a request makes, one after the other.
	lookupCalls, operationCalls = 8, 4
)

// chainRequest is a request that makes calls to the deep service, one after the other.
type chainRequest struct {
	Request
	origin    int
	callsLeft int
	queuedAt  clock.Millis
	doneAt    clock.Millis
}

// simulation is a deep service that operations and lookups of 20 origins use over a chain.
type simulation struct {
	random    *rand.Rand
	throttles []*Throttle
	now       clock.Millis
	running   []*chainRequest
	queue     []*chainRequest
	// ended, served and refused count the requests by class; those that are not admitted have ended, but count as neither.
	ended, served, refused map[bool]int
}

func newSimulation(throttled bool) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(simulationSeed, 0)), now: 1000,
		ended: make(map[bool]int), served: make(map[bool]int), refused: make(map[bool]int),
	}
	for range origins {
		if throttled {
			s.throttles = append(s.throttles, NewThrottle())
		}
	}
	return s
}

func (s *simulation) resetCounts() {
	clear(s.ended)
	clear(s.served)
	clear(s.refused)
}

// run lets requests arrive for the time. lookups and operations are their numbers per millisecond.
func (s *simulation) run(duration clock.Millis, lookups, operations float64) {
	for end := s.now + duration; s.now < end; s.now++ {
		s.finishCalls()
		s.arrive(lookups, Request{Route: "lookup", Rank: 2, Idempotent: true}, lookupCalls)
		s.arrive(operations, Request{Route: "operation"}, operationCalls)
		s.startCalls()
	}
}

func (s *simulation) arrive(perMs float64, r Request, calls int) {
	for perMs > 0 {
		if s.random.Float64() < perMs {
			s.offer(&chainRequest{Request: r, origin: s.random.IntN(origins), callsLeft: calls})
		}
		perMs--
	}
}

func (s *simulation) offer(r *chainRequest) {
	if s.throttles != nil && s.random.Float64() >= s.throttles[r.origin].Share(r.Request, s.now) {
		s.ended[r.Idempotent]++
		return
	}
	s.call(r)
}

// call makes the next call of a request. The calls of all requests have the same rank, as they don't name the request.
func (s *simulation) call(r *chainRequest) {
	if len(s.queue) >= queueLimit {
		s.end(r, true)
		return
	}
	r.queuedAt = s.now
	s.queue = append(s.queue, r)
}

func (s *simulation) startCalls() {
	for len(s.queue) > 0 && (len(s.running) < slots || s.now-s.queue[0].queuedAt >= waitLimitMs) {
		r := s.queue[0]
		s.queue = s.queue[1:]
		if s.now-r.queuedAt >= waitLimitMs {
			s.end(r, true)
			continue
		}
		r.doneAt = s.now + callMs/2 + clock.Millis(s.random.IntN(callMs))
		s.running = append(s.running, r)
	}
}

func (s *simulation) finishCalls() {
	kept := s.running[:0]
	var finished []*chainRequest
	for _, r := range s.running {
		if r.doneAt <= s.now {
			finished = append(finished, r)
		} else {
			kept = append(kept, r)
		}
	}
	s.running = kept
	for _, r := range finished {
		if r.callsLeft--; r.callsLeft == 0 {
			s.end(r, false)
		} else {
			s.call(r)
		}
	}
}

func (s *simulation) end(r *chainRequest, short bool) {
	s.ended[r.Idempotent]++
	if short {
		s.refused[r.Idempotent]++
	} else {
		s.served[r.Idempotent]++
	}
	if s.throttles != nil {
		report := NewReport("deep", len(s.running), len(s.queue), slots)
		s.throttles[r.origin].Observe(r.Request, Outcome{Report: report, Short: short}, s.now)
	}
}

func (s *simulation) servedShare(idempotent bool) float64 {
	return float64(s.served[idempotent]) / float64(s.ended[idempotent])
}

const (
	lookup, operation = true, false
	// operationsPerMs take 0.27 of the deep service's 1.2 calls per millisecond. lookupsPerMs would take 1.33 of it, and
	// calmLookupsPerMs 0.33.
	operationsPerMs  = 0.08
	lookupsPerMs     = 0.2
	calmLookupsPerMs = 0.05
	settleMs         = 5000
	measuredMs       = 20_000
)

// Load: lookups whose chains ask for more than the deep service has, beside operations that need a quarter of it. Guards against
// operations that fail half-way because lookups have taken the slots, and against lookups that are starved instead.
func TestOperationsFindCapacityBesideTooManyLookups(t *testing.T) {
	t.Logf("seed=%d", simulationSeed)
	baseline, throttled := newSimulation(false), newSimulation(true)
	for _, s := range []*simulation{baseline, throttled} {
		s.run(settleMs, lookupsPerMs, operationsPerMs)
		s.resetCounts()
		s.run(measuredMs, lookupsPerMs, operationsPerMs)
		t.Logf("operations served %.3f, lookups served %.3f and refused half-way %.3f", s.servedShare(operation),
			s.servedShare(lookup), float64(s.refused[lookup])/float64(s.ended[lookup]))
	}
	assert.Assert(t, baseline.servedShare(operation) < 0.95, "the load is too small to show anything")
	assert.Assert(t, throttled.servedShare(operation) >= 0.99, "operations served: %.3f", throttled.servedShare(operation))
	assert.Assert(t, throttled.servedShare(lookup) >= baseline.servedShare(lookup))
	assert.Assert(t, throttled.servedShare(lookup) >= minShare)
}

// Load: a shortage that ends. Guards against lookups that are refused although there is capacity again.
func TestLookupsAreAdmittedAgainAfterAShortage(t *testing.T) {
	s := newSimulation(true)
	s.run(settleMs, lookupsPerMs, operationsPerMs)
	s.run(settleMs, calmLookupsPerMs, operationsPerMs)
	s.resetCounts()
	s.run(measuredMs, calmLookupsPerMs, operationsPerMs)
	assert.Assert(t, s.servedShare(lookup) >= 0.98, "lookups served: %.3f", s.servedShare(lookup))
}

// Load: a short service that a lookup's chain does not use. Guards against refusing requests that would not relieve it.
func TestRoutesThatDontUseTheShortServiceAreNotThrottled(t *testing.T) {
	s := newSimulation(true)
	s.run(settleMs, lookupsPerMs, operationsPerMs)
	other := Request{Route: "other", Rank: 2, Idempotent: true}
	for i := range 100 {
		// A node reports the most utilized service that its target calls, whichever of its requests made the calls.
		s.throttles[0].Observe(other, Outcome{Report: Report{Service: "deep", Utilization: 3}}, s.now+clock.Millis(i))
	}
	assert.Equal(t, s.throttles[0].Share(other, s.now+100), 1.0)
}

// Load: only lookups of one rank use the short service. Guards against leaving slots free that nobody more important needs.
func TestLookupsAreNotThrottledForTheirEquals(t *testing.T) {
	s := newSimulation(true)
	s.run(settleMs, lookupsPerMs, 0)
	for _, throttle := range s.throttles {
		assert.Equal(t, throttle.Share(Request{Route: "lookup", Rank: 2, Idempotent: true}, s.now), 1.0)
	}
}

// Load: lookups of two ranks beside operations. Guards against refusing lookups of the higher rank before those of the lower one
// are at their minimum.
func TestLowestRankIsThrottledFirst(t *testing.T) {
	throttle := NewThrottle()
	low, high := Request{Route: "low", Rank: 3, Idempotent: true}, Request{Route: "high", Rank: 1, Idempotent: true}
	full := Outcome{Report: Report{Service: "deep", Utilization: 2}, Short: true}
	now := clock.Millis(1000)
	for range 5 {
		for _, r := range []Request{low, high, {Route: "operation"}} {
			throttle.Observe(r, full, now)
		}
	}
	for ; now < 10_000; now += stepMs {
		throttle.Observe(low, full, now)
		lowShare, highShare := throttle.Share(low, now), throttle.Share(high, now)
		assert.Assert(t, highShare == 1 || lowShare == minShare, "%v of the lower rank, %v of the higher one", lowShare, highShare)
	}
	assert.Equal(t, throttle.Share(high, now), minShare)
	assert.Equal(t, throttle.Share(Request{Route: "operation"}, now), 1.0)
}
