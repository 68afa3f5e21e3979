package gate

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/workcost"
)

func routed(id uint64, name string, now clock.Millis) Request {
	r := lookup(id, "a", 0)
	r.Route, r.Arrival, r.Deadline = name, now, now+10_000
	return r
}

// newCostGate returns a gate that has learned two routes of 910 and 57 ms at a target of the usual speed.
func newCostGate(slots int) *Gate {
	g := newGate(Config{Slots: slots, QueueLimit: 100})
	g.SetEstimator(workcost.NewEstimator(workcost.Auto))
	for id := uint64(1); id <= 100; id++ {
		runRouted(g, id, "long", 910, 100)
		runRouted(g, 1000+id, "short", 57, 100)
	}
	return g
}

func runRouted(g *Gate, id uint64, name string, ms float64, percent int) {
	g.Offer(routed(id, name, 0), 0)
	g.Done(id, Sample{LatencyMs: ms, Answered: true, SlownessPercent: percent}, 0)
}

// Load: as many calls of 910 ms as of 57 ms at two targets. Guards against a reported load, wait and retry delay that are the
// same for both, and against work that is counted after its end.
func TestOutstandingWorkDependsOnTheRoutes(t *testing.T) {
	loads := make(map[string]call.Load)
	for _, name := range []string{"long", "short"} {
		g := newCostGate(2)
		for id := uint64(5000); id < 5004; id++ {
			g.Offer(routed(id, name, 0), 0)
		}
		loads[name] = g.Load(0)
		for id := uint64(5000); id < 5004; id++ {
			g.Done(id, Sample{LatencyMs: 1, Answered: true, SlownessPercent: 100}, 0)
		}
		assert.Equal(t, g.Load(0).WorkMs, clock.Millis(0))
	}
	long, short := loads["long"], loads["short"]
	assert.Assert(t, long.WorkMs > 3400 && long.WorkMs < 3800, "%v", long)
	assert.Assert(t, short.WorkMs > 200 && short.WorkMs < 350, "%v", short)
	assert.Assert(t, long.WaitMs > 10*short.WaitMs && short.WaitMs > 0)
	assert.Equal(t, long.SlownessPercent, 100)
}

// Load: a call that runs for longer than expected. Guards against remaining work that stays at the full cost, or is negative.
func TestRunningCallsCountWithTheirRemainingWork(t *testing.T) {
	g := newCostGate(2)
	g.Offer(routed(5000, "long", 0), 0)
	assert.Assert(t, g.Load(600).WorkMs < 400)
	assert.Assert(t, g.Load(60_000).WorkMs > 0)
}

// Load: deadlines between the costs of the two routes. Guards against refusing the cheap route, and against refusing the
// expensive one forever.
func TestDeadlineIsComparedWithTheRoute(t *testing.T) {
	g := newCostGate(2)
	offer := func(id uint64, name string, now clock.Millis) call.Reason {
		r := routed(id, name, now)
		r.Deadline = now + 300
		d := g.Offer(r, now)
		if d[0].Admitted {
			g.Done(id, Sample{Cancelled: true}, now)
		}
		return d[0].Reason
	}
	assert.Equal(t, offer(1, "long", 0), call.ReasonDeadlineTooClose)
	assert.Equal(t, offer(2, "short", 0), call.Reason(""))
	assert.Equal(t, offer(3, "long", 5000), call.Reason(""))
}

// Load: random calls with deadlines, at a target that does not report its slowness, and one whose part is turned off. Guards
// against decisions and reported loads that differ from those of a gate without estimates.
func TestGateDecidesAsBeforeWithoutReports(t *testing.T) {
	for _, mode := range []workcost.Mode{workcost.Auto, workcost.Off} {
		const seed = 9
		t.Logf("seed=%d", seed)
		percent := 0
		if mode == workcost.Off {
			percent = 150
		}
		var logs [2]string
		for i := range logs {
			random := rand.New(rand.NewPCG(seed, seed))
			g := newGate(Config{Slots: 4, QueueLimit: 20, QueueTimeoutMs: 50})
			if i == 1 {
				g.SetEstimator(workcost.NewEstimator(mode))
			}
			for id := uint64(1); id < 2000; id++ {
				now := clock.Millis(id * 3)
				r := routed(id, fmt.Sprint(random.IntN(3)), now)
				r.Deadline = now + clock.Millis(random.IntN(100))
				logs[i] += fmt.Sprintln(g.Offer(r, now), g.Tick(now), g.Load(now))
				done := id - uint64(random.IntN(10))
				logs[i] += fmt.Sprintln(g.Done(done, Sample{LatencyMs: 40, Answered: true, SlownessPercent: percent}, now))
			}
		}
		assert.Equal(t, logs[0], logs[1])
	}
}

// BenchmarkOfferDoneWithCosts measures a call and its report at a gate that estimates costs, with half of its slots in use.
func BenchmarkOfferDoneWithCosts(b *testing.B) {
	for name, costs := range map[string]bool{"on": true, "off": false} {
		b.Run(name, func(b *testing.B) {
			g := newGate(Config{Slots: 90, QueueLimit: 200})
			if costs {
				g = newCostGate(90)
			}
			id := uint64(10_000)
			for ; id < 10_045; id++ {
				g.Offer(routed(id, "long", 0), 0)
			}
			for b.Loop() {
				id++
				g.Offer(routed(id, "short", 0), 0)
				g.Done(id, Sample{LatencyMs: 57, Answered: true, SlownessPercent: 100}, 0)
				g.Load(0)
			}
		})
	}
}
