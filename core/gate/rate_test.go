package gate

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

// load is a stream of requests that arrive at random times.
type load struct {
	perSecond float64
	request   func(id uint64) Request
}

// rateSimulation drives a gate with a rate limit. Calls take 50 ms.
type rateSimulation struct {
	gate     *Gate
	random   *rand.Rand
	loads    []load
	now      clock.Millis
	nextID   uint64
	loadOf   map[uint64]int
	arrival  map[uint64]clock.Millis
	ends     map[clock.Millis][]uint64
	startsAt []clock.Millis
	// offered, started and maxWait are by load.
	offered, started []int
	maxWait          []clock.Millis
	reasons          map[call.Reason]int
}

func newRateSimulation(t *testing.T, seed uint64, loads ...load) *rateSimulation {
	t.Helper()
	t.Logf("seed %d", seed)
	return &rateSimulation{
		gate:   newGate(Config{Slots: 300, QueueLimit: 1200, QueueTimeoutMs: 250, LookupShare: 0.15}),
		random: rand.New(rand.NewPCG(seed, seed)), loads: loads, loadOf: make(map[uint64]int),
		arrival: make(map[uint64]clock.Millis), ends: make(map[clock.Millis][]uint64),
		offered: make([]int, len(loads)), started: make([]int, len(loads)), maxWait: make([]clock.Millis, len(loads)),
		reasons: make(map[call.Reason]int),
	}
}

func (s *rateSimulation) apply(decisions []Decision) {
	const serviceMs = 50
	for _, d := range decisions {
		l := s.loadOf[d.ID]
		s.maxWait[l] = max(s.maxWait[l], s.now-s.arrival[d.ID])
		if !d.Admitted {
			s.reasons[d.Reason]++
			continue
		}
		s.started[l]++
		s.startsAt = append(s.startsAt, s.now)
		s.ends[s.now+serviceMs] = append(s.ends[s.now+serviceMs], d.ID)
	}
}

// run plays the loads for the time, in steps of a millisecond with a tick every 5 ms.
func (s *rateSimulation) run(duration clock.Millis) {
	for end := s.now + duration; s.now < end; s.now++ {
		for l, stream := range s.loads {
			if s.random.Float64() >= stream.perSecond/millisPerSecond {
				continue
			}
			s.nextID++
			r := stream.request(s.nextID)
			r.Arrival, r.Deadline = s.now, s.now+5000
			s.loadOf[r.ID], s.arrival[r.ID] = l, s.now
			s.offered[l]++
			s.apply(s.gate.Offer(r, s.now))
		}
		for _, id := range s.ends[s.now] {
			s.apply(s.gate.Done(id, Sample{LatencyMs: 50}, s.now))
		}
		delete(s.ends, s.now)
		if s.now%5 == 0 {
			s.apply(s.gate.Tick(s.now))
		}
	}
}

// startsBetween returns the number of calls that started from the first time until before the second.
func (s *rateSimulation) startsBetween(from, until clock.Millis) int {
	count := 0
	for _, at := range s.startsAt {
		if at >= from && at < until {
			count++
		}
	}
	return count
}

func lookups(perSecond float64, account string) load {
	return load{perSecond, func(id uint64) Request { return lookup(id, account, 0) }}
}

func operations(perSecond float64) load {
	return load{perSecond, nonIdempotent}
}

func innerCalls(perSecond float64) load {
	return load{perSecond, innerNonIdempotentCall}
}

// Guards against a target that gets more than its limit in any 4 s while demand is three times as high, at limits that rise,
// fall, end, and are named again. The users allow one and a half times the limit and 5 requests.
func TestRateLimitHoldsInEveryWindow(t *testing.T) {
	const windowMs, stepMs = 4000, 6000
	s := newRateSimulation(t, 1, lookups(150, "a"), operations(60), innerCalls(90))
	limits := []float64{100, 40, 120, 0, 0.3, 7, 100}
	for _, perSecond := range limits {
		if perSecond == 7 {
			s.apply(s.gate.RemoveRateLimit(s.now))
			s.run(500)
		}
		from := s.now
		s.apply(s.gate.SetRateLimit(perSecond, s.now))
		s.run(stepMs)
		for start := from; start+windowMs <= s.now; start += 50 {
			got := s.startsBetween(start, start+windowMs)
			allowed := 1.5*perSecond*windowMs/millisPerSecond + 5
			assert.Assert(t, float64(got) <= allowed, "%d starts in 4 s from %d at a limit of %v", got, start, perSecond)
		}
		// What the target accepts must also be used.
		assert.Assert(t, float64(s.startsBetween(from, s.now)) >= 0.9*perSecond*stepMs/millisPerSecond-1, "limit %v", perSecond)
	}
}

// Guards against a target at a limit of zero that never answers again, so that the end of the limit is not noticed.
func TestZeroLimitStillStartsACallNowAndThen(t *testing.T) {
	s := newRateSimulation(t, 2, lookups(100, "a"))
	s.apply(s.gate.SetRateLimit(0, s.now))
	s.run(10_000)
	assert.Assert(t, len(s.startsAt) >= 3 && len(s.startsAt) <= 6, "%d starts", len(s.startsAt))
}

// Guards against operations that are refused because lookups use the starts, at high and low limits. Operations that arrive
// within a short time of each other are refused at a low limit in any case, because they may wait for 250 ms only.
func TestLookupsTakeNoStartsFromOperationsAtALimitedTarget(t *testing.T) {
	const maxLost = 0.05
	for _, perSecond := range []float64{5, 20, 100} {
		served := func(loads ...load) float64 {
			s := newRateSimulation(t, 3, loads...)
			s.apply(s.gate.SetRateLimit(perSecond, s.now))
			s.run(60_000)
			return float64(s.started[0]) / float64(s.offered[0])
		}
		alone, beside := served(operations(0.5*perSecond)), served(operations(0.5*perSecond), lookups(2*perSecond, "a"))
		t.Logf("limit %v: %.3f of the operations start alone, %.3f beside lookups", perSecond, alone, beside)
		assert.Assert(t, beside >= alone-maxLost, "limit %v: %.3f beside lookups, %.3f alone", perSecond, beside, alone)
	}
}

// Guards against an account far beyond its share that takes the starts of another one.
func TestAccountsShareALimitedTargetFairly(t *testing.T) {
	s := newRateSimulation(t, 4, lookups(500, "heavy"), lookups(30, "light"))
	s.apply(s.gate.SetRateLimit(100, s.now))
	s.run(20_000)
	served := float64(s.started[1]) / float64(s.offered[1])
	assert.Assert(t, served >= 0.9, "%.2f of the light account's lookups started", served)
}

// Guards against lookups that get nothing beside inner calls, which go first because work is lost if they fail, and against
// lookups that take the place of more inner calls than their share.
func TestLookupsKeepTheirShareBesideInnerCallsAtALimitedTarget(t *testing.T) {
	s := newRateSimulation(t, 5, lookups(100, "a"), innerCalls(200))
	s.apply(s.gate.SetRateLimit(100, s.now))
	s.run(20_000)
	share := float64(s.started[0]) / float64(s.started[0]+s.started[1])
	assert.Assert(t, share >= 0.1 && share <= 0.2, "lookups got %.2f of the starts", share)
}

// Guards against a queue in which calls only age: a call that can't start soon is refused while it can go elsewhere.
func TestCallsWaitOnlyShortlyAtALimitedTarget(t *testing.T) {
	const tickMs = 5
	s := newRateSimulation(t, 6, lookups(300, "a"), operations(300))
	for _, perSecond := range []float64{100, 1, 10} {
		s.apply(s.gate.SetRateLimit(perSecond, s.now))
		s.run(5000)
	}
	assert.Assert(t, s.maxWait[0] <= lookupRateWaitMs+tickMs, "a lookup waited %d ms", s.maxWait[0])
	assert.Assert(t, s.maxWait[1] <= rateWaitMs+tickMs, "an operation waited %d ms", s.maxWait[1])
	assert.Equal(t, len(s.reasons), 1, "reasons %v", s.reasons)
	assert.Assert(t, s.reasons[call.ReasonTargetLimited] > 0)
}

// Guards against a burst after the node was suspended, when calls that have piled up arrive at once.
func TestNoBurstAfterASuspension(t *testing.T) {
	s := newRateSimulation(t, 7, lookups(300, "a"))
	s.apply(s.gate.SetRateLimit(50, s.now))
	s.run(2000)
	s.now += 5000
	from := s.now
	s.loads[0].perSecond = millisPerSecond
	s.run(1000)
	got := s.startsBetween(from, s.now)
	assert.Assert(t, got <= 50+int(50*rateBurstSeconds)+1, "%d starts in a second at a limit of 50", got)
}

// Guards against a health check that the target gets beyond its limit, and against a retry delay that ends before there is room.
func TestOtherRequestsCountTowardsTheRateLimit(t *testing.T) {
	g := newGate(Config{Slots: 10, QueueLimit: 10})
	g.SetRateLimit(2, 0)
	g.ChargeRate(1000)
	assert.Equal(t, g.Load(1000).WaitMs, clock.Millis(500))
	refused := g.Offer(lookup(1, "a", 0), 1000)
	assert.Equal(t, refused[0].Reason, call.ReasonTargetLimited)
	assert.Assert(t, refused[0].RetryAfterMs >= 250 && refused[0].RetryAfterMs <= 750)
	assert.Assert(t, g.Offer(lookup(2, "a", 0), 1500)[0].Admitted)
	g.ChargeRate(1500)
	assert.Equal(t, len(g.RemoveRateLimit(1500)), 0)
	assert.Assert(t, g.Offer(lookup(3, "a", 0), 1500)[0].Admitted)
}

// Guards against a limit that is used up by requests that another target answers at the address, and against a refund that allows
// a burst. Load: lookups at 1,000 per second, of which all but every tenth are refunded, at a limit of 10.
func TestRefundedRequestsDoNotCountTowardsTheRateLimit(t *testing.T) {
	g := newGate(Config{Slots: 100, QueueLimit: 10})
	g.SetRateLimit(10, 0)
	started, counted := 0, 0
	for now := clock.Millis(0); now < 10_000; now++ {
		id := uint64(now) + 1
		decisions := g.Offer(Request{ID: id, Class: route.NonIdempotent, Arrival: now, Deadline: now + 5000}, now)
		for len(decisions) > 0 {
			d := decisions[0]
			decisions = decisions[1:]
			if !d.Admitted {
				continue
			}
			started++
			if started%10 == 0 {
				counted++
			} else {
				g.RefundRate(now)
			}
			decisions = append(decisions, g.Done(d.ID, Sample{LatencyMs: 1}, now)...)
		}
	}
	assert.Assert(t, started >= 10*80, "%d started", started)
	assert.Assert(t, counted <= 10*10+2, "%d counted", counted)
}

// Guards against a grant that is used more than once, or that outlasts a change of the limit. Load: ten operations at once.
func TestGrantedStartsGoAheadOfTheRateOnce(t *testing.T) {
	g := newGate(Config{Slots: 100, QueueLimit: 10})
	assert.Equal(t, len(g.GrantStarts(4, 0)), 0, "without a limit there is nothing to grant")
	g.SetRateLimit(0.5, 0)
	g.GrantStarts(4, 0)
	admitted := 0
	for id := range uint64(10) {
		for _, d := range g.Offer(Request{ID: id + 1, Class: route.NonIdempotent, Deadline: 5000}, 0) {
			if d.Admitted {
				admitted++
			}
		}
	}
	assert.Equal(t, admitted, 4)
	g.GrantStarts(4, 0)
	g.SetRateLimit(0.4, 0)
	assert.Equal(t, len(g.Offer(Request{ID: 20, Class: route.NonIdempotent, Deadline: 5000}, 0)), 1, "refused at once")
}
