package workcost

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
)

func observe(b *Book, k Key, n int, ms float64, now clock.Millis) {
	for range n {
		b.Observe(k, Sample{SlotMs: ms, Slowness: 1}, now)
	}
}

func about(t *testing.T, got, want, tolerance float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= tolerance*want, "got %v, want about %v", got, want)
}

// Load: a service with a route of 910 ms and one of 57 ms, and single requests to new routes. Guards against one estimate for
// both, and against an estimate of a new route that is 0 or rests on one sample.
func TestRoutesHaveTheirOwnEstimates(t *testing.T) {
	b := New()
	assert.Equal(t, b.Estimate(Key{Service: "s", Route: "new"}, 0), Estimate{AgeMs: -1})
	for range 200 {
		observe(b, Key{Service: "s", Route: "long"}, 1, 910, 100)
		observe(b, Key{Service: "s", Route: "short"}, 1, 57, 100)
	}
	about(t, b.Estimate(Key{Service: "s", Route: "long"}, 100).MeanMs, 910, 0.05)
	about(t, b.Estimate(Key{Service: "s", Route: "short"}, 100).MeanMs, 57, 0.2)
	service := b.Estimate(Key{Service: "s", Route: "new"}, 100)
	about(t, service.MeanMs, 480, 0.25)
	assert.Equal(t, service.AgeMs, clock.Millis(-1))
	observe(b, Key{Service: "s", Route: "new"}, 1, 10, 200)
	once := b.Estimate(Key{Service: "s", Route: "new"}, 300)
	assert.Assert(t, once.MeanMs > 100 && once.MeanMs < service.MeanMs)
	assert.Equal(t, once.AgeMs, clock.Millis(100))
}

// Load: one route with a share of 20% expensive requests, whose cost then changes. Guards against a quantile that hides them.
func TestTwoKindsOfWorkShowInTheQuantile(t *testing.T) {
	b, k := New(), Key{Service: "s", Route: "r"}
	for i := range 1000 {
		observe(b, k, 1, []float64{57, 57, 57, 57, 910}[i%5], 0)
	}
	e := b.Estimate(k, 0)
	assert.Assert(t, e.HighMs >= 910 && e.HighMs <= 1300, "%v", e)
	assert.Assert(t, e.MeanMs < 450, "%v", e)
	observe(b, k, 2000, 57, 0)
	assert.Assert(t, b.Estimate(k, 0).HighMs < 100)
}

// Load: uploads that cost ten times as much as small requests of the same route. Guards against ignoring the size, and against a
// class of few samples or without a difference that replaces the estimate of the route.
func TestSizeClassIsUsedWhereItIsInformative(t *testing.T) {
	b := New()
	small, large := Key{"s", "r", SizeClass(100)}, Key{"s", "r", SizeClass(1 << 20)}
	for range 100 {
		observe(b, small, 3, 10, 0)
		observe(b, large, 1, 100, 0)
	}
	assert.Assert(t, b.Estimate(large, 0).MeanMs > 80)
	assert.Assert(t, b.Estimate(small, 0).MeanMs < 20)
	observe(b, Key{"s", "r", SizeClass(2000)}, 5, 1000, 0)
	withoutBody := b.Estimate(Key{Service: "s", Route: "r"}, 0)
	assert.Equal(t, b.Estimate(Key{"s", "r", SizeClass(2000)}, 0), withoutBody)
}

// Load: a shared machine works at random slowness and reports it. Guards against estimates that contain the slowness of the
// moment, and against reports without plausibility that change them.
func TestSlownessIsDividedOut(t *testing.T) {
	const seed = 3
	t.Logf("seed=%d", seed)
	random, b, k := rand.New(rand.NewPCG(seed, seed)), New(), Key{Service: "s", Route: "r"}
	for range 500 {
		slowness := 0.7 + 3*random.Float64()
		b.Observe(k, Sample{SlotMs: 50 * slowness, Slowness: slowness}, 0)
	}
	about(t, b.Estimate(k, 0).MeanMs, 50, 0.01)
	for _, slowness := range []float64{0, -1, math.NaN(), math.Inf(1), 1e9, 1e-9} {
		b.Observe(k, Sample{SlotMs: 50, Slowness: slowness}, 0)
	}
	for _, ms := range []float64{math.NaN(), math.Inf(1), -1, 1e12} {
		b.Observe(k, Sample{SlotMs: ms, Slowness: 1}, 0)
	}
	about(t, b.Estimate(k, 0).MeanMs, 50, 0.01)
}

// Load: requests that fail at once, and requests that are cancelled after long. Guards against failures that make a route look
// cheap.
func TestFailedRequestsOnlyRaiseTheEstimate(t *testing.T) {
	b, k := New(), Key{Service: "s", Route: "r"}
	b.Observe(k, Sample{SlotMs: 1, Slowness: 1, LowerBound: true}, 0)
	assert.Equal(t, b.Len(), 0)
	observe(b, k, 100, 50, 0)
	b.Observe(Key{Service: "s", Route: "new"}, Sample{SlotMs: 1, Slowness: 1, LowerBound: true}, 0)
	about(t, b.Estimate(Key{Service: "s", Route: "new"}, 0).MeanMs, 50, 0.01)
	for range 100 {
		b.Observe(k, Sample{SlotMs: 1, Slowness: 1, LowerBound: true}, 0)
	}
	about(t, b.Estimate(k, 0).MeanMs, 50, 0.01)
	for range 100 {
		b.Observe(k, Sample{SlotMs: 300, Slowness: 1, LowerBound: true}, 0)
	}
	assert.Assert(t, b.Estimate(k, 0).MeanMs > 200)
}

// Load: routes above the bound on the keys, each used once. Guards against unbounded memory, and against losing a route in use.
func TestKeysAreBounded(t *testing.T) {
	b, used := New(), Key{Service: "s", Route: "used"}
	for i := range 3 * MaxKeys {
		observe(b, used, 1, 50, clock.Millis(i))
		observe(b, Key{Service: "s", Route: fmt.Sprint(i)}, 1, 1, clock.Millis(i))
		assert.Assert(t, b.Len() <= MaxKeys)
	}
	assert.Equal(t, b.Estimate(used, 3*MaxKeys).AgeMs, clock.Millis(1))
}

// Load: a route above every deadline, and a new cheap route beside expensive ones. Guards against an estimate that refuses all
// requests of a route, so that no sample corrects it.
func TestRefusalsNeverLast(t *testing.T) {
	b := New()
	observe(b, Key{Service: "s", Route: "long"}, 100, 10_000, 0)
	assert.Assert(t, b.RefusalMs(Key{Service: "s", Route: "long"}, 0) > 9000)
	assert.Assert(t, b.RefusalMs(Key{Service: "s", Route: "long"}, 6000) < 10)
	assert.Equal(t, b.RefusalMs(Key{Service: "s", Route: "new"}, 0), 0.0)
	observe(b, Key{Service: "s", Route: "new"}, minRefusalSamples-1, 10_000, 0)
	assert.Equal(t, b.RefusalMs(Key{Service: "s", Route: "new"}, 0), 0.0)
}

// Load: reports of a machine whose state changes, then none. Guards against the use of reports that are stale or not plausible.
func TestSlownessOfOldOrImplausibleReports(t *testing.T) {
	var s Slowness
	assert.Equal(t, s.Factor(0), 1.0)
	for _, percent := range []int{0, -5, 9, 2001, math.MaxInt} {
		s.Report(percent, 10)
		assert.Equal(t, s.Factor(10), 1.0)
	}
	for now := clock.Millis(0); now < 60_000; now += 100 {
		s.Report(100, now)
	}
	s.Report(250, 60_000)
	about(t, s.Factor(60_000), 2.5, 0.01)
	assert.Assert(t, s.Factor(61_000) < 1.5)
	assert.Equal(t, s.Factor(60_000+staleMs), 1.0)
}

// Load: answers of targets of two versions. Guards against a switch that changes with each of them, and that never turns off.
func TestSwitchFollowsReports(t *testing.T) {
	s := NewSwitch(Auto)
	assert.Assert(t, !s.Observe(false) && !s.On())
	assert.Assert(t, s.Observe(true) && s.On())
	for range 10 * missingReports {
		assert.Assert(t, !s.Observe(false))
		assert.Assert(t, !s.Observe(true) && s.On())
	}
	changes := 0
	for range 2 * missingReports {
		if s.Observe(false) {
			changes++
		}
	}
	assert.Assert(t, changes == 1 && !s.On())
	on, off := NewSwitch(On), NewSwitch(Off)
	assert.Assert(t, !off.Observe(true) && !off.On() && on.On())
}

func BenchmarkObserveAndEstimate(bm *testing.B) {
	b, k := New(), Key{Service: "s", Route: "r", Size: 1}
	observe(b, k, 100, 50, 0)
	for bm.Loop() {
		b.Observe(k, Sample{SlotMs: 50, Slowness: 1.2}, 0)
		b.Estimate(k, 0)
	}
}
