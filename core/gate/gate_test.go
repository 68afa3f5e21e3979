package gate

import (
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

func newGate(config Config) *Gate {
	config.Enabled = true
	return New(config, FixedLimiter(1000), rand.New(rand.NewPCG(1, 1)), 0)
}

func lookup(id uint64, account string, depth int) Request {
	return Request{ID: id, Account: account, Weight: 1, Class: route.Lookup, Depth: depth, Deadline: 10_000}
}

func nonIdempotent(id uint64) Request {
	return Request{ID: id, Account: "z", Weight: 1, Class: route.NonIdempotent, Deadline: 10_000}
}

// innerNonIdempotentCall returns an inner call of another account's non-idempotent operation.
func innerNonIdempotentCall(id uint64) Request {
	return Request{ID: id, Account: "y", Weight: 1, Class: route.NonIdempotent, Depth: 1, Deadline: 10_000}
}

// admissionOrder finishes the running call 1 and then each admitted call, and returns the order of admissions.
func admissionOrder(g *Gate, now clock.Millis) (order []uint64) {
	for last := uint64(1); ; last = order[len(order)-1] {
		decisions := g.Done(last, Sample{}, now)
		if len(decisions) == 0 {
			return order
		}
		for _, d := range decisions {
			if d.Admitted {
				order = append(order, d.ID)
			}
		}
	}
}

// Lookups and shallow calls must not start before calls that would waste more work if they failed.
func TestWaitingCallsStartInRankAndFairShareOrder(t *testing.T) {
	heavy := func(r Request) Request { r.Weight = 2; return r }
	for name, test := range map[string]struct {
		requests []Request
		now      clock.Millis
		want     []uint64
	}{
		"class and depth": {
			[]Request{lookup(2, "a", 0), lookup(3, "a", 2), nonIdempotent(4), lookup(5, "a", 1)}, 0, []uint64{4, 3, 5, 2}},
		"accounts alternate": {
			[]Request{lookup(2, "a", 0), lookup(3, "a", 0), lookup(4, "a", 0), lookup(5, "b", 0)}, 0, []uint64{2, 5, 3, 4}},
		"weights": {
			[]Request{lookup(2, "a", 0), lookup(3, "a", 0), heavy(lookup(4, "b", 0)), heavy(lookup(5, "b", 0)),
				heavy(lookup(6, "b", 0)), heavy(lookup(7, "b", 0))}, 0, []uint64{2, 4, 5, 3, 6, 7}},
		"newest first in a standing queue": {
			[]Request{lookup(2, "a", 0), lookup(3, "a", 0), lookup(4, "b", 0)}, defaultNewestFirstAfterMs, []uint64{3, 4, 2}},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(Config{Slots: 1, QueueLimit: 10})
			assert.Assert(t, g.Offer(lookup(1, "y", 9), 0)[0].Admitted)
			for _, r := range test.requests {
				assert.Equal(t, len(g.Offer(r, 0)), 0)
			}
			assert.DeepEqual(t, admissionOrder(g, test.now), test.want)
			assert.Assert(t, g.Idle())
			assert.Equal(t, len(g.accounts), 0)
		})
	}
}

// A full queue must evict the lowest-ranked call of the account that exceeds its fair share the most.
func TestFullQueueEvictsLowestRankedCall(t *testing.T) {
	roots := []Request{lookup(2, "a", 0), lookup(3, "a", 0), lookup(4, "b", 0)}
	mixed := []Request{lookup(2, "a", 2), lookup(3, "a", 0), lookup(4, "b", 0)}
	for name, test := range map[string]struct {
		waiting []Request
		offered Request
		refused uint64
	}{
		"lookup of the busiest account":     {roots, lookup(5, "c", 0), 3},
		"the offered call itself":           {roots, lookup(5, "a", 0), 5},
		"shallowest lookup of the account":  {mixed, lookup(5, "a", 2), 3},
		"lookup for a non-idempotent call":  {[]Request{nonIdempotent(2), nonIdempotent(3), lookup(4, "b", 0)}, nonIdempotent(5), 4},
		"lookup among non-idempotent calls": {[]Request{nonIdempotent(2), nonIdempotent(3), nonIdempotent(4)}, lookup(5, "b", 0), 5},
		"inner non-idempotent call is kept": {[]Request{innerNonIdempotentCall(2), nonIdempotent(3), nonIdempotent(4)},
			nonIdempotent(5), 5},
		"offered non-idempotent call": {[]Request{nonIdempotent(2), nonIdempotent(3), nonIdempotent(4)}, nonIdempotent(5), 5},
	} {
		t.Run(name, func(t *testing.T) {
			g := newGate(Config{Slots: 1, QueueLimit: 3})
			g.Offer(lookup(1, "y", 0), 0)
			for _, r := range test.waiting {
				assert.Equal(t, len(g.Offer(r, 0)), 0)
			}
			decisions := g.Offer(test.offered, 0)
			assert.Equal(t, len(decisions), 1)
			assert.Equal(t, decisions[0].ID, test.refused)
			assert.Equal(t, decisions[0].Reason, call.ReasonOverloaded)
			assert.Assert(t, decisions[0].RetryAfterMs >= minRetryAfterMs/2)
		})
	}
}

// No call may wait past its deadline, and no lookup past the queue timeout, which must not apply to non-idempotent calls.
func TestTickRefusesExpiredCalls(t *testing.T) {
	g := newGate(Config{Slots: 1, QueueLimit: 9, QueueTimeoutMs: 50})
	g.Offer(lookup(1, "a", 0), 0)
	g.Done(1, Sample{LatencyMs: 100}, 0)
	g.Offer(lookup(2, "a", 0), 0)
	late := lookup(3, "a", 0)
	late.Deadline = 110
	g.Offer(late, 0)
	g.Offer(lookup(4, "a", 0), 0)
	g.Offer(nonIdempotent(5), 0)
	past := lookup(6, "a", 0)
	past.Deadline = 0
	assert.Equal(t, g.Offer(past, 0)[0].Reason, call.ReasonDeadlineExceeded)
	assert.Equal(t, len(g.Tick(10)), 0)
	assert.Equal(t, g.Tick(15)[0].Reason, call.ReasonDeadlineTooClose)
	decisions := g.Tick(60)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0].Reason, call.ReasonQueueTimeout)
	assert.Equal(t, g.Load(60), call.Load{Running: 1, Waiting: 1, Limit: 1, WaitMs: 200})
}

// After the target was slow for a time, the service time estimate must not make the gate refuse every call permanently.
func TestServiceTimeEstimateDecaysAfterSlowCalls(t *testing.T) {
	g := newGate(Config{Slots: 1})
	g.Offer(lookup(1, "a", 0), 0)
	g.Done(1, Sample{LatencyMs: 5000}, 0)
	r := lookup(2, "a", 0)
	r.Deadline = 500
	assert.Equal(t, g.Offer(r, 0)[0].Reason, call.ReasonDeadlineTooClose)
	r.Deadline = 5500
	assert.Assert(t, g.Offer(r, 5000)[0].Admitted)
}

// A target that has just started must not get its full load at once, and waiting calls must start while the limit grows.
func TestSlowStartRaisesLimitAndStartsWaitingCalls(t *testing.T) {
	g := newGate(Config{Slots: 10, QueueLimit: 20, ColdStartMs: 1000})
	g.TargetStarted(0)
	for id := range uint64(12) {
		g.Offer(lookup(id, "a", 0), 0)
	}
	assert.Equal(t, g.Load(0).Running, 1)
	g.Tick(500)
	assert.Equal(t, g.Load(500).Running, 5)
	g.Tick(1000)
	assert.Equal(t, g.Load(1000).Running, 10)
}

// A leaving gate must refuse new calls but keep the waiting ones, and no limit may apply while the policy is off.
func TestLeavingGateKeepsWaitingCallsAndDisabledGateAdmitsAll(t *testing.T) {
	g := newGate(Config{Slots: 1, QueueLimit: 9})
	g.Offer(lookup(1, "a", 0), 0)
	g.Offer(lookup(2, "a", 0), 0)
	assert.Equal(t, len(g.SetLeaving(true, 0)), 0)
	assert.Equal(t, g.Offer(nonIdempotent(3), 0)[0].Reason, call.ReasonLeaving)
	assert.Assert(t, g.Done(1, Sample{}, 0)[0].Admitted)
	g.SetLeaving(false, 0)
	g.Offer(lookup(4, "a", 0), 0)
	assert.Assert(t, g.Configure(Config{Slots: 1}, 0)[0].Admitted)
	assert.Assert(t, g.Offer(lookup(5, "a", 0), 0)[0].Admitted)
	assert.Equal(t, len(g.Cancel(5, 0)), 0)
}

// Over random histories, each call must get exactly one decision, no lookup may start while a non-idempotent call waits, and no
// more calls may run than there are slots.
func TestRandomHistoriesKeepGateInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{
			Slots:          rapid.IntRange(1, 4).Draw(t, "slots"),
			QueueLimit:     rapid.IntRange(0, 5).Draw(t, "queueLimit"),
			QueueTimeoutMs: clock.Millis(rapid.IntRange(0, 50).Draw(t, "queueTimeoutMs")),
			ColdStartMs:    40,
		}
		g := newGate(config)
		now := clock.Millis(1)
		requests := make(map[uint64]Request)
		decided := make(map[uint64]Decision)
		var running []uint64
		refusedAt := clock.Millis(-1)
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				r := requests[d.ID]
				_, repeated := decided[d.ID]
				assert.Assert(t, !repeated, "call %d is decided twice", d.ID)
				decided[d.ID] = d
				assert.Equal(t, d.Admitted, d.Reason == "")
				if !d.Admitted {
					if r.Class == route.NonIdempotent && d.Reason == call.ReasonOverloaded {
						refusedAt = now
					}
					continue
				}
				assert.Assert(t, r.Deadline > now)
				running = append(running, d.ID)
				if r.Class == route.Lookup {
					assert.Assert(t, refusedAt != now, "lookup %d starts in the millisecond in which a non-idempotent call is refused", d.ID)
				}
			}
			nonIdempotentWaits := g.queue.len() - g.queue.lookups
			for _, d := range decisions {
				assert.Assert(t, !d.Admitted || requests[d.ID].Class == route.NonIdempotent || nonIdempotentWaits == 0)
			}
			assert.Assert(t, len(running) <= config.Slots)
			assert.Assert(t, g.queue.len() <= max(config.QueueLimit, g.runningLookups))
		}
		for id := range uint64(rapid.IntRange(1, 60).Draw(t, "steps")) {
			now += clock.Millis(rapid.IntRange(0, 8).Draw(t, "pause"))
			switch rapid.IntRange(0, 6).Draw(t, "event") {
			case 0:
				apply(g.Tick(now))
			case 1:
				apply(g.Cancel(uint64(rapid.IntRange(0, 60).Draw(t, "id")), now))
			case 2, 3:
				if len(running) > 0 {
					finished := running[0]
					running = running[1:]
					apply(g.Done(finished, Sample{LatencyMs: float64(rapid.IntRange(0, 30).Draw(t, "latency"))}, now))
				}
			default:
				requests[id] = Request{
					ID:       id,
					Account:  rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "account"),
					Weight:   float64(rapid.IntRange(0, 3).Draw(t, "weight")),
					Class:    rapid.SampledFrom([]route.Class{route.Lookup, route.NonIdempotent}).Draw(t, "class"),
					Depth:    rapid.IntRange(0, 3).Draw(t, "depth"),
					Arrival:  now,
					Deadline: now + clock.Millis(rapid.IntRange(0, 100).Draw(t, "timeout")),
				}
				apply(g.Offer(requests[id], now))
			}
		}
		for range 1000 {
			if len(running) > 0 {
				finished := running[0]
				running = running[1:]
				apply(g.Done(finished, Sample{}, now))
			}
			now += 5
			apply(g.Tick(now))
		}
		assert.Equal(t, len(decided), len(requests))
		assert.Assert(t, g.Idle())
	})
}

// The limit must fall at a congested target, but not when a downstream service of the target is slow.
func TestAdaptiveLimiterTellsCongestionFromSlowDownstream(t *testing.T) {
	for name, test := range map[string]struct {
		latencyMs func(running int, slow bool) float64
		low, high int
	}{
		// Above 20 calls the latency grows in proportion to the calls, so that it is twice the baseline at 40 calls.
		"congestion": {func(n int, slow bool) float64 {
			if !slow {
				return 20
			}
			return 20 * max(1, float64(n)/20)
		}, 16, 48},
		"slow downstream": {func(_ int, slow bool) float64 {
			if !slow {
				return 20
			}
			return 200
		}, 72, 90},
	} {
		t.Run(name, func(t *testing.T) {
			a := NewAdaptiveLimiter(90)
			now := 0.0
			for now < 10_000 {
				running := a.Limit()
				latencyMs := test.latencyMs(running, now >= 2000)
				now += latencyMs / float64(running)
				a.Observe(Sample{LatencyMs: latencyMs}, running, clock.Millis(now))
				if now > 6000 {
					assert.Assert(t, a.Limit() >= test.low && a.Limit() <= test.high, "limit %d at %.0f ms", a.Limit(), now)
				}
			}
			for now < 14_000 {
				now += 20 / float64(a.Limit())
				a.Observe(Sample{LatencyMs: 20}, a.Limit(), clock.Millis(now))
			}
			assert.Equal(t, a.Limit(), 90)
		})
	}
}

// When inner non-idempotent calls alone exceed the capacity of the target, root lookups must still get their share of the slots,
// but not more.
func TestLookupsKeepTheirShareUnderInnerCallLoad(t *testing.T) {
	const slots, share, lookupMs, callMs, endMs = 20, 0.2, 240, 15, 4000
	g := newGate(Config{Slots: slots, QueueLimit: 80, LookupShare: share})
	ends := make(map[uint64]clock.Millis)
	started := make(map[route.Class]int)
	requests := make(map[uint64]Request)
	var id uint64
	for now := clock.Millis(1); now < endMs; now++ {
		apply := func(decisions []Decision) {
			for _, d := range decisions {
				if !d.Admitted {
					continue
				}
				durationMs := clock.Millis(callMs)
				if requests[d.ID].Class == route.Lookup {
					durationMs = lookupMs
				}
				started[requests[d.ID].Class]++
				ends[d.ID] = now + durationMs
			}
		}
		for _, running := range slices.Sorted(maps.Keys(ends)) {
			if ends[running] <= now {
				delete(ends, running)
				apply(g.Done(running, Sample{LatencyMs: callMs}, now))
			}
		}
		apply(g.Tick(now))
		for range 2 {
			id++
			requests[id] = Request{ID: id, Class: route.NonIdempotent, Depth: 1, Arrival: now, Deadline: now + 700}
			apply(g.Offer(requests[id], now))
		}
		if now%10 == 0 {
			id++
			requests[id] = Request{ID: id, Class: route.Lookup, Arrival: now, Deadline: now + 2500}
			apply(g.Offer(requests[id], now))
		}
		assert.Assert(t, float64(g.runningLookups) <= share*slots, "%d lookups are running", g.runningLookups)
	}
	// The lookups' share of the slots runs 4 lookups of 240 ms at a time; the other slots run calls of 15 ms.
	const lookups, calls = share * slots * endMs / lookupMs, (1 - share) * slots * endMs / callMs
	assert.Assert(t, started[route.Lookup] > lookups*3/4, "%d lookups started", started[route.Lookup])
	assert.Assert(t, float64(started[route.NonIdempotent]) > calls*3/4, "%d inner calls started", started[route.NonIdempotent])
}

// The share of the lookups must not be taken from root non-idempotent calls.
func TestLookupShareDoesNotPrecedeOperations(t *testing.T) {
	g := newGate(Config{Slots: 1, QueueLimit: 10, LookupShare: 1})
	assert.Assert(t, g.Offer(lookup(1, "y", 0), 0)[0].Admitted)
	g.Offer(lookup(2, "a", 0), 0)
	g.Offer(nonIdempotent(3), 0)
	assert.DeepEqual(t, admissionOrder(g, 0), []uint64{3, 2})
}

// When a lookup is next by its share but cannot start in the millisecond in which a non-idempotent call was refused, inner calls
// must start instead. Otherwise free slots would stay unused until the next event.
func TestLookupWithoutRoomDoesNotBlockInnerCalls(t *testing.T) {
	const slots = 2
	g := newGate(Config{Slots: slots, QueueLimit: 9, LookupShare: 0.5})
	for id := range uint64(slots) {
		assert.Assert(t, g.Offer(nonIdempotent(id), 0)[0].Admitted)
	}
	expiring := nonIdempotent(10)
	expiring.Deadline = 5
	g.Offer(expiring, 0)
	g.Offer(innerNonIdempotentCall(11), 0)
	g.Offer(lookup(12, "a", 0), 0)
	g.Tick(5)
	assert.Equal(t, g.nonIdempotentRefusedAt, clock.Millis(5))
	decisions := g.Done(0, Sample{}, 5)
	assert.Equal(t, len(decisions), 1)
	assert.Equal(t, decisions[0], Decision{ID: 11, Admitted: true})
}

// Guards against waiting calls of a stopping node that start although their responses can't be passed on any more, and against
// refusing the calls of other nodes with them.
func TestLimitedDeadlinesRefuseWhatCannotFinish(t *testing.T) {
	from := func(r Request, sender uint64) Request { r.Sender = sender; return r }
	g := newGate(Config{Slots: 1, QueueLimit: 10})
	assert.Assert(t, g.Offer(nonIdempotent(1), 0)[0].Admitted)
	g.Offer(from(nonIdempotent(2), 7), 0)
	g.Offer(from(nonIdempotent(3), 8), 0)
	g.Offer(from(nonIdempotent(4), 8), 0)
	assert.Equal(t, len(g.LimitDeadlines(7, 500, 100)), 0, "there is still time")
	assert.Equal(t, g.Done(1, Sample{LatencyMs: 300}, 150)[0].ID, uint64(4), "the newest starts first")
	refused := g.LimitDeadlines(7, 500, 250)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, uint64(2))
	assert.Equal(t, refused[0].Reason, call.ReasonDeadlineTooClose)
	assert.Equal(t, len(g.LimitDeadlines(AnySender, 260, 270)), 1, "the node itself stops")
}

// Guards against calls that stay in the queue for a target that has left, and against refusing those for its successor at the
// same address.
func TestWaitingCallsForALostTargetAreRefused(t *testing.T) {
	to := func(r Request, target string) Request { r.Target = target; return r }
	g := newGate(Config{Slots: 1, QueueLimit: 10})
	assert.Assert(t, g.Offer(to(nonIdempotent(1), "old"), 0)[0].Admitted)
	g.Offer(to(nonIdempotent(2), "old"), 0)
	g.Offer(to(nonIdempotent(3), "new"), 0)
	targets := g.WaitingTargets()
	slices.Sort(targets)
	assert.DeepEqual(t, targets, []string{"new", "old"})
	refused := g.RefuseWaiting(map[string]call.Reason{"old": call.ReasonNoTarget}, 10)
	assert.Equal(t, len(refused), 1)
	assert.Equal(t, refused[0].ID, uint64(2))
	assert.Equal(t, refused[0].Reason, call.ReasonNoTarget)
	assert.Equal(t, g.Done(1, Sample{}, 20)[0].ID, uint64(3))
}
