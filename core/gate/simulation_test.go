package gate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

const (
	simulatedSlots      = 90
	simulationMs        = 15_000
	surgeFromMs         = 2_000
	surgeToMs           = 12_000
	simulatedDeadlineMs = 400
	// simulatedCapacity is the capacity in calls per second at the mean service time of 50 ms.
	simulatedCapacity = simulatedSlots * 1000 / 50
)

type event struct {
	at, started clock.Millis
	id          uint64
}
type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

type attempt struct {
	account       int
	nonIdempotent bool
	tries         int
	deadline      clock.Millis
}

// simulation simulates the load on a gate from 8 accounts, of which the first sends half of the calls. For 10 s the load
// changes to a given multiple of the capacity, 2.5 in a surge. Refused callers retry twice, after 20 ms each.
type simulation struct {
	gate        *Gate
	random      *rand.Rand
	perAccount  bool
	now         clock.Millis
	nextID      uint64
	pending     map[uint64]attempt
	endEvents   events
	retryEvents events
	retries     map[uint64]attempt
	// From slowFrom to slowTo calls take 4 times as long, regardless of the limit.
	slowFrom, slowTo clock.Millis

	// nonIdempotentPercent is the percentage of non-idempotent calls, nonIdempotentRefused the number of them that were refused.
	nonIdempotentPercent int
	nonIdempotentRefused int

	complete [simulationMs / 100]int
	offered  [8]float64
	received [8]float64
}

func (tr *simulation) offer(a attempt) {
	tr.nextID++
	r := Request{ID: tr.nextID, Class: route.Lookup, Arrival: tr.now, Deadline: tr.now + simulatedDeadlineMs}
	if tr.perAccount {
		r.Account = string(rune('a' + a.account))
	}
	if a.nonIdempotent {
		r.Class = route.NonIdempotent
	}
	a.deadline = r.Deadline
	tr.pending[r.ID] = a
	tr.apply(tr.gate.Offer(r, tr.now))
}

func (tr *simulation) apply(decisions []Decision) {
	for _, d := range decisions {
		if d.Admitted {
			service := clock.Millis(25 + tr.random.IntN(51))
			if tr.now >= tr.slowFrom && tr.now < tr.slowTo {
				service *= 4
			}
			heap.Push(&tr.endEvents, event{at: tr.now + service, started: tr.now, id: d.ID})
			continue
		}
		if tr.pending[d.ID].nonIdempotent {
			tr.nonIdempotentRefused++
		}
		if a := tr.pending[d.ID]; a.tries < 2 {
			a.tries++
			tr.retries[d.ID] = a
			heap.Push(&tr.retryEvents, event{at: tr.now + 20, id: d.ID})
		}
		delete(tr.pending, d.ID)
	}
}

func (tr *simulation) step(load float64) {
	for len(tr.endEvents) > 0 && tr.endEvents[0].at <= tr.now {
		e := heap.Pop(&tr.endEvents).(event)
		a := tr.pending[e.id]
		delete(tr.pending, e.id)
		if tr.now <= a.deadline {
			tr.complete[tr.now/100]++
			if tr.now >= surgeFromMs && tr.now < surgeToMs {
				tr.received[a.account]++
			}
		}
		tr.apply(tr.gate.Done(e.id, Sample{LatencyMs: float64(e.at - e.started)}, tr.now))
	}
	for len(tr.retryEvents) > 0 && tr.retryEvents[0].at <= tr.now {
		e := heap.Pop(&tr.retryEvents).(event)
		tr.offer(tr.retries[e.id])
		delete(tr.retries, e.id)
	}
	arrivals := load * simulatedCapacity / 1000
	for n := int(arrivals + tr.random.Float64()); n > 0; n-- {
		account := 0
		if tr.random.IntN(2) == 1 {
			account = 1 + tr.random.IntN(7)
		}
		if tr.now >= surgeFromMs && tr.now < surgeToMs {
			tr.offered[account]++
		}
		tr.offer(attempt{account: account, nonIdempotent: tr.random.IntN(100) < tr.nonIdempotentPercent})
	}
	if tr.now%5 == 0 {
		tr.apply(tr.gate.Tick(tr.now))
	}
}

type simulationResult struct {
	goodputRatio, worstAccountRatio float64
	recoveryMs                      int
}

func (tr *simulation) run(surge float64) simulationResult {
	const normal = 0.7
	for ; tr.now < simulationMs; tr.now++ {
		load := normal
		if tr.now >= surgeFromMs && tr.now < surgeToMs {
			load = surge
		}
		tr.step(load)
	}
	f := simulationResult{worstAccountRatio: 1, recoveryMs: -1}
	sum := func(from, to int) (n float64) {
		for _, c := range tr.complete[from/100 : to/100] {
			n += float64(c)
		}
		return n
	}
	capacity := 1.0
	if tr.slowTo > 0 {
		capacity = 0.25
	}
	f.goodputRatio = sum(surgeFromMs, surgeToMs) / (simulatedCapacity * 10 * min(capacity, surge))
	for account, received := range tr.received {
		due := min(tr.offered[account], simulatedCapacity*capacity*10/8)
		f.worstAccountRatio = min(f.worstAccountRatio, received/due)
	}
	before := sum(1000, surgeFromMs) / 10
	for at := surgeToMs; at+500 <= simulationMs && f.recoveryMs < 0; at += 100 {
		if sum(at, at+500)/5 >= 0.95*before {
			f.recoveryMs = at - surgeToMs
		}
	}
	return f
}

func newSimulation(seed uint64, perAccount bool, newestFirstAfterMs clock.Millis, queueLimit int, limiter Limiter) *simulation {
	random := rand.New(rand.NewPCG(seed, 1))
	config := Config{Slots: simulatedSlots, QueueLimit: queueLimit, Enabled: true}
	g := New(config, limiter, random, 0)
	g.newestFirstAfterMs = newestFirstAfterMs
	return &simulation{
		gate: g, random: random, perAccount: perAccount, pending: make(map[uint64]attempt), retries: make(map[uint64]attempt),
	}
}

// With the default order, a surge must not lose goodput, delay the recovery or starve an account. The other orders are
// simulated for comparison only.
func TestSurgeKeepsGoodputAndFairness(t *testing.T) {
	const seed = 7
	t.Logf("seed=%d", seed)
	for _, order := range []struct {
		name               string
		perAccount         bool
		newestFirstAfterMs clock.Millis
		queueLimit         int
	}{
		{"fifo", false, clock.Never, 200},
		{"fifo", false, clock.Never, 2000},
		{"newest-first", false, 0, 2000},
		{"fair-fifo", true, clock.Never, 2000},
		{"fair-default", true, defaultNewestFirstAfterMs, 200},
		{"fair-default", true, defaultNewestFirstAfterMs, 2000},
	} {
		t.Run(fmt.Sprintf("%s-%d", order.name, order.queueLimit), func(t *testing.T) {
			t.Parallel()
			f := newSimulation(seed, order.perAccount, order.newestFirstAfterMs, order.queueLimit,
				NewAdaptiveLimiter(simulatedSlots)).run(2.5)
			t.Logf("goodputRatio=%.3f recoveryMs=%d worstAccountRatio=%.3f", f.goodputRatio, f.recoveryMs, f.worstAccountRatio)
			if order.name == "fair-default" {
				assert.Assert(t, f.goodputRatio >= 0.95)
				assert.Assert(t, f.recoveryMs >= 0 && f.recoveryMs <= 2000)
				assert.Assert(t, f.worstAccountRatio >= 0.9)
			}
		})
	}
}

// Non-idempotent calls must not be refused in a surge in which refusing lookups is enough.
func TestNonIdempotentCallsAreNotRefusedInASurge(t *testing.T) {
	const seed = 5
	t.Logf("seed=%d", seed)
	tr := newSimulation(seed, true, defaultNewestFirstAfterMs, 200, NewAdaptiveLimiter(simulatedSlots))
	tr.nonIdempotentPercent = 30
	f := tr.run(2.5)
	t.Logf("goodputRatio=%.3f recoveryMs=%d onceOnlyRefused=%d", f.goodputRatio, f.recoveryMs, tr.nonIdempotentRefused)
	assert.Equal(t, tr.nonIdempotentRefused, 0)
	assert.Assert(t, f.goodputRatio >= 0.95)
}

// The adaptive limit must not fall, and so leave slots unused, when calls are waiting for a slow downstream service.
func TestAdaptiveLimiterKeepsSlotsUsedOnSlowDownstream(t *testing.T) {
	for _, seed := range []uint64{0, 1, 2, 11} {
		for name, limiter := range map[string]Limiter{
			"fixed": FixedLimiter(simulatedSlots), "adaptive": NewAdaptiveLimiter(simulatedSlots),
		} {
			tr := newSimulation(seed, true, defaultNewestFirstAfterMs, 200, limiter)
			tr.slowFrom, tr.slowTo = surgeFromMs, surgeToMs
			f := tr.run(0.7)
			t.Logf("seed=%d limiter=%s goodputRatio=%.3f recoveryMs=%d worstAccountRatio=%.3f",
				seed, name, f.goodputRatio, f.recoveryMs, f.worstAccountRatio)
			assert.Assert(t, f.goodputRatio >= 0.95)
			assert.Assert(t, f.recoveryMs >= 0 && f.recoveryMs <= 2000)
		}
	}
}
