package balance

import (
	"math"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/workcost"
)

const (
	// speedSampleWeight is the weight of a new sample in the speed of a node's target, and maxSpeedSample the highest sample; its
	// inverse is the lowest. The samples vary with the kinds of requests of a route.
	speedSampleWeight = 0.03
	maxSpeedSample    = 4
	// typicalHalfLifeMs is the half-life of reported loads in a node's typical load.
	typicalHalfLifeMs = 3000
	// reportHalfLifeMs is the age at which a reported load has half of its weight against the typical load. At 200 ms and above, the
	// load test refuses more requests at 95% of the capacity.
	reportHalfLifeMs = 100
	// waitWeight is the weight of the expected wait against the expected run time. A call at a busy target also delays the calls
	// that come after it. At 1, the load test shows more oscillation when the reports leave out a part of the slowness.
	waitWeight = 3
	// idleFreeShare and fullFreeShare are the weights of the free slots of an idle target and of a full one.
	idleFreeShare = 1.2
	fullFreeShare = 0.2
	// typicalMemoryMs is the age at which the typical load has half of its weight. A node that was avoided for long must be tried
	// again.
	typicalMemoryMs = 5000
)

// WorkFacts are the facts of a choice by expected completion time.
type WorkFacts struct {
	// CostMs is the expected slot time of the request at the usual speed; it is 0 if the choice was not based on it.
	CostMs float64
	// RunMs is the expected slot time at the present speed of the chosen target, WaitMs the expected wait for a slot, and
	// OutstandingMs the expected remaining slot time of the target's other calls.
	RunMs, WaitMs, OutstandingMs float64
	// SlownessPercent is the slowness of the target on which RunMs is based.
	SlownessPercent int
}

// nodeWork is the state of a node for choices by expected completion time.
type nodeWork struct {
	// ownMs is the expected slot time of this node's calls in flight at the usual speed.
	ownMs float64
	// othersMs is the outstanding work in the last report that came from other nodes' calls.
	othersMs float64
	// typicalCalls and typicalMs are the moving means of the reported calls and work of other nodes.
	typicalCalls, typicalMs float64
	reportedAt              clock.Millis
	slowness                workcost.Slowness
	// speed is the moving mean of the measured slot times relative to the expected ones, or 0 before the first sample. It shows
	// what the target's reports of its slowness leave out.
	speed float64
}

// StartedWork counts a call that is sent to the node, with its expected slot time at the usual speed; see CallResult.CostMs.
func (b *Balancer) StartedWork(name string, costMs float64, now clock.Millis) {
	b.Started(name, now)
	b.node(name).work.ownMs += costMs
}

// finishWork records the result of a call. The load of the result, if any, has been stored before.
func (n *node) finishWork(result CallResult, now clock.Millis) {
	w := &n.work
	w.ownMs = max(0, w.ownMs-result.CostMs)
	if n.inFlight == 0 {
		// Rounding errors of the sum must not accumulate.
		w.ownMs = 0
	}
	if result.Load == nil || result.Load.SlownessPercent == 0 {
		return
	}
	w.slowness.Report(result.Load.SlownessPercent, now)
	factor := w.factor(now)
	w.othersMs = max(0, float64(result.Load.WorkMs)-w.ownMs*factor)
	weight := 1.0
	if w.reportedAt > 0 {
		weight = 1 - math.Exp2(-float64(max(0, now-w.reportedAt))/typicalHalfLifeMs)
	}
	w.typicalCalls += weight * (float64(n.othersCalls) - w.typicalCalls)
	w.typicalMs += weight * (w.othersMs - w.typicalMs)
	w.reportedAt = now
	if !result.Failed && !result.Refused && result.CostMs > 0 && result.TargetMs > 0 {
		sample := result.TargetMs / (result.CostMs * w.slowness.Factor(now))
		w.speed = movingSpeed(w.speed, min(max(sample, 1.0/maxSpeedSample), maxSpeedSample))
	}
}

func movingSpeed(mean, sample float64) float64 {
	if mean == 0 {
		mean = 1
	}
	return mean + speedSampleWeight*(sample-mean)
}

// factor returns the expected slot time at the target relative to the usual one.
func (w *nodeWork) factor(now clock.Millis) float64 {
	speed := w.speed
	if speed == 0 {
		speed = 1
	}
	return speed * w.slowness.Factor(now)
}

// completion is the expected course of a call at a candidate.
type completion struct {
	waitMs, runMs, outstandingMs float64
	factor                       float64
	// utilization is the number of calls at the target, including the new one, relative to its slots.
	utilization float64
}

// estimateCompletion returns the expected course of a call with this cost at the candidate. The weight of the last report falls
// with its age in favor of the typical load, since other nodes have sent calls and calls have ended in the meantime; if a report
// counted as it is until the next one, or an old one as no load, all nodes would choose the same target together.
func (b *Balancer) estimateCompletion(c Candidate, costMs float64, now clock.Millis) completion {
	slots := float64(max(1, c.Slots))
	n := b.nodes[c.Node]
	if n == nil {
		return completion{runMs: costMs, factor: 1, utilization: 1 / slots}
	}
	w := &n.work
	e := completion{factor: w.factor(now)}
	e.runMs = costMs * e.factor
	calls, freshness := float64(n.inFlight), 0.0
	e.outstandingMs = w.ownMs * e.factor
	if n.loadKnown {
		slots = float64(max(1, n.load.Limit))
		ageMs := float64(max(0, now-n.loadAt))
		freshness = math.Exp2(-ageMs / reportHalfLifeMs)
		typical := (1 - freshness) * math.Exp2(-ageMs/typicalMemoryMs)
		others := freshness*float64(n.othersCalls) + typical*w.typicalCalls
		calls += others
		if n.load.SlownessPercent > 0 {
			e.outstandingMs += freshness*w.othersMs + typical*w.typicalMs
		} else {
			e.outstandingMs += others * e.runMs
		}
	}
	slots *= b.rampShare(n, now)
	e.utilization = (calls + 1) / slots
	e.waitMs = max(slotWaitMs(calls, e.outstandingMs, slots), freshness*float64(n.load.WaitMs))
	return e
}

// slotWaitMs returns the expected wait for a slot at a target with this number of calls and outstanding work. With all slots in
// use, a call waits until the waiting calls and one running call have ended, and the slots together end one call in the mean
// outstanding time divided by their number. With free slots, the wait falls like that of an M/M/c queue (Sakasegawa's
// approximation), because the number of calls is uncertain: a target with its last slot free is likely to be full when the
// request arrives.
func slotWaitMs(calls, outstandingMs, slots float64) float64 {
	if calls <= 0 {
		return 0
	}
	perCallMs := outstandingMs / calls / slots
	if calls >= slots {
		return (calls - slots + 1) * perCallMs
	}
	return math.Pow(calls/slots, math.Sqrt(2*(slots+1))) * perCallMs
}

// freeShare returns the weight of a target's free slots, by which its run time is divided. The wait alone rises only with the
// last slots, so that without the weight the faster targets would be full while the slower ones have free slots, and bursts and
// work that becomes slower would find no room at them.
func freeShare(utilization float64) float64 {
	return max(fullFreeShare, idleFreeShare-utilization)
}

func (b *Balancer) workFacts(c Candidate, costMs float64, now clock.Millis) WorkFacts {
	e := b.estimateCompletion(c, costMs, now)
	return WorkFacts{
		CostMs: costMs, RunMs: e.runMs, WaitMs: e.waitMs, OutstandingMs: e.outstandingMs,
		SlownessPercent: int(math.Round(e.factor * workcost.NormalPercent)),
	}
}
