package gate

import (
	"math"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/workcost"
)

// Estimator predicts the slot times of requests at the gate's target.
type Estimator interface {
	// On reports whether the gate uses the estimates; otherwise it uses the mean service time of the class.
	On() bool
	// Observe records the end of a request. percent is the slowness that the target reported, or 0.
	Observe(k workcost.Key, s workcost.Sample, percent int, answered bool, now clock.Millis)
	// Estimate returns the expected slot time at the usual speed.
	Estimate(k workcost.Key, now clock.Millis) workcost.Estimate
	// RefusalMs returns the slot time at the present speed below which a deadline is too close, or 0 if it is not known.
	RefusalMs(k workcost.Key, now clock.Millis) float64
	// Factor returns the present slowness of the target, and Percent the same in percent.
	Factor(now clock.Millis) float64
	Percent(now clock.Millis) int
	TargetStarted()
}

// SetEstimator makes the gate use estimates by route. A nil estimator turns them off.
func (g *Gate) SetEstimator(e Estimator) {
	g.estimator = e
}

// usesCosts reports whether decisions use estimates by route.
func (g *Gate) usesCosts() bool {
	return g.estimator != nil && g.estimator.On()
}

func (r Request) costKey() workcost.Key {
	return workcost.Key{Route: r.Route, Size: workcost.SizeClass(r.BodyBytes)}
}

// expectedCost returns the expected slot time of the request, or a zero estimate while the estimates are off.
func (g *Gate) expectedCost(r Request, now clock.Millis) workcost.Estimate {
	if !g.usesCosts() {
		return workcost.Estimate{}
	}
	return g.estimator.Estimate(r.costKey(), now)
}

// observeCost records the slot time of a finished call. The slot is held until the response is closed, which is later than the
// target's answer.
func (g *Gate) observeCost(finished runningCall, s Sample, now clock.Millis) {
	if g.estimator == nil {
		return
	}
	g.estimator.Observe(finished.key, workcost.Sample{
		SlotMs: max(s.LatencyMs, float64(now-finished.started)), LowerBound: s.Failed || s.Cancelled,
	}, s.SlownessPercent, s.Answered, now)
}

// remainingMs returns the expected remaining slot time at the usual speed of a call that has run for elapsedMs at that speed. A
// call that exceeds the mean is expected to be one of the expensive ones of its route.
func (c runningCall) remainingMs(elapsedMs float64) float64 {
	switch {
	case elapsedMs < c.cost.MeanMs:
		return c.cost.MeanMs - elapsedMs
	case elapsedMs < c.cost.HighMs:
		return c.cost.HighMs - elapsedMs
	default:
		return c.cost.MeanMs / 2
	}
}

// outstandingMs returns the sum of the expected remaining slot times of the running and waiting calls at the present speed.
func (g *Gate) outstandingMs(now clock.Millis) float64 {
	factor := g.estimator.Factor(now)
	sum := g.queue.costMs
	for _, c := range g.running {
		sum += c.remainingMs(float64(now-c.started) / factor)
	}
	return sum * factor
}

// expectedCostWaitMs estimates the time until a slot is free for a call that arrives now: the waiting calls and one running call
// must end first, and the slots together end one call in the mean outstanding time divided by the limit.
func (g *Gate) expectedCostWaitMs(limit int, now clock.Millis) float64 {
	calls := len(g.running) + g.queue.len()
	ahead := calls - limit + 1
	if ahead <= 0 || calls == 0 {
		return 0
	}
	return float64(ahead) * g.outstandingMs(now) / float64(calls) / float64(limit)
}

// addCosts adds the outstanding work and the slowness of the target to the reported load.
func (g *Gate) addCosts(load call.Load, now clock.Millis) call.Load {
	if !g.usesCosts() {
		return load
	}
	load.WorkMs = clock.Millis(math.Round(g.outstandingMs(now)))
	load.SlownessPercent = g.estimator.Percent(now)
	return load
}
