package balance_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/workcost"
)

const (
	modelTargets   = 20
	modelOrigins   = 60
	modelSlots     = 16
	modelMs        = 10_000
	warmMs         = 3_000
	modelTimeoutMs = 3_000
	noiseMs        = 600
	noiseShare     = 0.15
	noiseFactor    = 2.5
	windowMs       = 100
	historyMs      = 640
	stepMs         = 10
	maxGates       = 3
	// longShare is the share of requests of 910 ms among those of 57 ms.
	longShare = 0.1
)

var (
	modelSpeeds = []float64{0.7, 0.7, 1.6}
	kindMs      = []float64{57, 910}
	kindRoutes  = []string{"short", "long"}
)

// placement chooses targets for one origin.
type placement interface {
	choose(kind int, candidates []balance.Candidate, exclude map[string]bool, now clock.Millis) (int, bool)
	started(target, kind int, now clock.Millis)
	finished(target, kind int, r balance.CallResult, now clock.Millis)
}

// loadBased is the choice without costs.
type loadBased struct {
	balancer *balance.Balancer
}

func targetName(i int) string { return fmt.Sprintf("target-%02d", i) }

func targetIndex(name string) int {
	i, err := strconv.Atoi(strings.TrimPrefix(name, "target-"))
	if err != nil {
		return -1
	}
	return i
}

func (p loadBased) choose(_ int, cs []balance.Candidate, exclude map[string]bool, now clock.Millis) (int, bool) {
	c, ok := p.balancer.Choose(cs, exclude, now)
	return targetIndex(c.Node), ok
}

func (p loadBased) started(target, _ int, now clock.Millis) {
	p.balancer.Started(targetName(target), now)
}

func (p loadBased) finished(target, _ int, r balance.CallResult, now clock.Millis) {
	p.balancer.Finished(targetName(target), r, now)
}

// costLearner learns the costs of the routes from replies, like an origin.
type costLearner struct {
	book *workcost.Book
}

func (l costLearner) costMs(kind int, now clock.Millis) float64 {
	return l.book.Estimate(workcost.Key{Route: kindRoutes[kind]}, now).MeanMs
}

func (l costLearner) learn(kind int, r balance.CallResult, now clock.Millis) {
	if r.TargetMs > 0 {
		slowness := float64(r.Load.SlownessPercent) / workcost.NormalPercent
		l.book.Observe(workcost.Key{Route: kindRoutes[kind]}, workcost.Sample{SlotMs: r.TargetMs, Slowness: slowness}, now)
	}
}

// completionBased is the choice by expected completion time.
type completionBased struct {
	costLearner
	balancer *balance.Balancer
	costs    map[int][]float64
}

func (p completionBased) choose(kind int, cs []balance.Candidate, exclude map[string]bool, now clock.Millis) (int, bool) {
	c, ok := p.balancer.ChooseForCost(p.costMs(kind, now), cs, exclude, now)
	return targetIndex(c.Node), ok
}

func (p completionBased) started(target, kind int, now clock.Millis) {
	cost := p.costMs(kind, now)
	p.costs[target*2+kind] = append(p.costs[target*2+kind], cost)
	p.balancer.StartedWork(targetName(target), cost, now)
}

func (p completionBased) finished(target, kind int, r balance.CallResult, now clock.Millis) {
	costs := p.costs[target*2+kind]
	r.CostMs, p.costs[target*2+kind] = costs[0], costs[1:]
	p.learn(kind, r, now)
	p.balancer.Finished(targetName(target), r, now)
}

// leastWork takes the one of two random targets with the least outstanding work; bySpeed takes one target at random, weighted by
// the speed that it reports.
type leastWork struct {
	costLearner
	random   *rand.Rand
	bySpeed  bool
	ownMs    [modelTargets]float64
	othersMs [modelTargets]float64
	at       [modelTargets]clock.Millis
	slowness [modelTargets]workcost.Slowness
}

func (p *leastWork) choose(_ int, cs []balance.Candidate, exclude map[string]bool, now clock.Millis) (int, bool) {
	var usable []int
	var weights []float64
	sum := 0.0
	for i, c := range cs {
		if !exclude[c.Node] {
			usable = append(usable, i)
			weights = append(weights, 1/p.slowness[i].Factor(now))
			sum += weights[len(weights)-1]
		}
	}
	if p.bySpeed {
		at := p.random.Float64() * sum
		for i, w := range weights {
			if at -= w; at <= 0 {
				return usable[i], true
			}
		}
	}
	a, b := usable[p.random.IntN(len(usable))], usable[p.random.IntN(len(usable))]
	if p.workMs(b, now) < p.workMs(a, now) {
		return b, true
	}
	return a, true
}

func (p *leastWork) workMs(i int, now clock.Millis) float64 {
	return p.ownMs[i] + p.othersMs[i]*math.Exp2(-float64(now-p.at[i])/200)
}

func (p *leastWork) started(target, kind int, now clock.Millis) {
	p.ownMs[target] += p.costMs(kind, now)
}

func (p *leastWork) finished(target, kind int, r balance.CallResult, now clock.Millis) {
	p.ownMs[target] = max(0, p.ownMs[target]-p.costMs(kind, now))
	p.othersMs[target] = max(0, float64(r.Load.WorkMs)-p.ownMs[target])
	p.at[target] = now
	p.slowness[target].Report(r.Load.SlownessPercent, now)
	p.learn(kind, r, now)
}

type modelCall struct {
	id                          uint64
	kind, origin, target, gates int
	arrived, admitted           clock.Millis
	exclude                     map[string]bool
	remainingMs                 float64
}

type modelTarget struct {
	gate    *gate.Gate
	speed   float64
	noise   float64
	running []*modelCall
	// history holds the loads of the last historyMs.
	history  [historyMs / stepMs]call.Load
	arrivals [modelMs / windowMs]float64
	busyMs   float64
	calls    []float64
}

func (t *modelTarget) slowness() float64 { return t.speed * t.noise }

// model is a service whose machines differ in speed and are shared with others.
type model struct {
	// noise, arrivals and delays are separate sources, so that all placements meet the same noise and arrivals.
	noise, arrivals, delays *rand.Rand

	costs       bool
	reportSpeed bool
	candidates  []balance.Candidate
	targets     []*modelTarget
	origins     []placement
	calls       map[uint64]*modelCall
	nextID      uint64
	now         clock.Millis
	latencies   []float64
	refused     int
	// workMs and refusedMs are the work of the completed and the refused calls at the usual speed.
	workMs, refusedMs float64
}

func newModel(seed uint64, costs, reportSpeed bool, newPlacement func(r *rand.Rand) placement) *model {
	m := &model{
		noise: rand.New(rand.NewPCG(seed, 1)), arrivals: rand.New(rand.NewPCG(seed, 2)), delays: rand.New(rand.NewPCG(seed, 3)),
		costs: costs, reportSpeed: reportSpeed, calls: make(map[uint64]*modelCall),
	}
	for i := range modelTargets {
		g := gate.New(gate.Config{Slots: modelSlots, QueueLimit: 4 * modelSlots, QueueTimeoutMs: 250, LookupShare: 0.15, Enabled: true},
			gate.FixedLimiter(modelSlots), rand.New(rand.NewPCG(seed, uint64(i))), 0)
		if costs {
			g.SetEstimator(workcost.NewEstimator(workcost.Auto))
		}
		m.targets = append(m.targets, &modelTarget{gate: g, speed: modelSpeeds[i%len(modelSpeeds)], noise: 1})
		m.candidates = append(m.candidates, balance.Candidate{Node: targetName(i), FailureDomain: "x", Slots: modelSlots})
	}
	for i := range modelOrigins {
		m.origins = append(m.origins, newPlacement(rand.New(rand.NewPCG(seed, uint64(100+i)))))
	}
	return m
}

// capacity returns the calls per second that all targets together complete.
func (m *model) capacity() float64 {
	meanMs := kindMs[0]*(1-longShare) + kindMs[1]*longShare
	// A machine alternates between two speeds, so its speeds are averaged, not its times.
	meanSpeed := (1 - noiseShare) + noiseShare/noiseFactor
	sum := 0.0
	for _, t := range m.targets {
		sum += modelSlots * 1000 / meanMs * meanSpeed / t.speed
	}
	return sum
}

func (m *model) percent(t *modelTarget) int {
	if m.reportSpeed {
		return int(t.slowness() * workcost.NormalPercent)
	}
	return int(t.noise * workcost.NormalPercent)
}

func (m *model) run(load float64) {
	perMs := load * m.capacity() / 1000
	for ; m.now < modelMs; m.now++ {
		if m.now%noiseMs == 0 {
			for _, t := range m.targets {
				t.noise = 1
				if m.noise.Float64() < noiseShare {
					t.noise = noiseFactor
				}
			}
		}
		for _, t := range m.targets {
			m.stepTarget(t)
		}
		// The number of arrivals in a millisecond has a Poisson distribution.
		for p := m.arrivals.ExpFloat64(); p < perMs; p += m.arrivals.ExpFloat64() {
			m.arrive()
		}
	}
}

func (m *model) stepTarget(t *modelTarget) {
	perMs := 1 / t.slowness()
	ended := false
	for _, c := range t.running {
		c.remainingMs -= perMs
		ended = ended || c.remainingMs <= 0
	}
	if ended {
		m.completeEnded(t)
	}
	if m.now%stepMs != 0 {
		return
	}
	m.apply(t, t.gate.Tick(m.now))
	l := t.gate.Load(m.now)
	t.history[m.now%historyMs/stepMs] = l
	if m.now >= warmMs {
		t.busyMs += stepMs * float64(len(t.running))
		t.calls = append(t.calls, float64(l.Running+l.Waiting)/modelSlots)
	}
}

func (m *model) completeEnded(t *modelTarget) {
	running := t.running
	t.running = nil
	for _, c := range running {
		if c.remainingMs > 0 {
			t.running = append(t.running, c)
		} else {
			m.complete(t, c)
		}
	}
}

func (m *model) complete(t *modelTarget, c *modelCall) {
	delete(m.calls, c.id)
	targetMs := float64(m.now - c.admitted)
	m.apply(t, t.gate.Done(c.id, gate.Sample{LatencyMs: targetMs, Answered: true, SlownessPercent: m.percent(t)}, m.now))
	load := m.oldLoad(t)
	m.origins[c.origin].finished(c.target, c.kind, balance.CallResult{
		Load: &load, LatencyMs: float64(m.now - c.arrived), TargetMs: targetMs,
	}, m.now)
	if m.now >= warmMs {
		m.latencies = append(m.latencies, float64(m.now-c.arrived))
		m.workMs += kindMs[c.kind]
	}
}

// oldLoad returns the load of the target 50 to 500 ms ago.
func (m *model) oldLoad(t *modelTarget) call.Load {
	at := max(0, m.now-50-clock.Millis(m.delays.IntN(451)))
	load := t.history[at%historyMs/stepMs]
	load.Limit = modelSlots
	return load
}

func (m *model) arrive() {
	c := &modelCall{origin: m.arrivals.IntN(modelOrigins), arrived: m.now, exclude: make(map[string]bool)}
	if m.arrivals.Float64() < longShare {
		c.kind = 1
	}
	m.send(c)
}

func (m *model) send(c *modelCall) {
	target, ok := m.origins[c.origin].choose(c.kind, m.candidates, c.exclude, m.now)
	if !ok || c.gates >= maxGates {
		if m.now >= warmMs {
			m.refused++
			m.refusedMs += kindMs[c.kind]
		}
		return
	}
	m.nextID++
	c.target, c.exclude[targetName(target)] = target, true
	c.gates++
	c.remainingMs = kindMs[c.kind]
	c.id = m.nextID
	m.calls[c.id] = c
	t := m.targets[target]
	t.arrivals[m.now/windowMs]++
	m.origins[c.origin].started(target, c.kind, m.now)
	m.apply(t, t.gate.Offer(gate.Request{
		ID: m.nextID, Class: route.Lookup, Route: kindRoutes[c.kind], Arrival: m.now, Deadline: c.arrived + modelTimeoutMs,
	}, m.now))
}

func (m *model) apply(t *modelTarget, decisions []gate.Decision) {
	for _, d := range decisions {
		c := m.calls[d.ID]
		if d.Admitted {
			c.admitted = m.now
			t.running = append(t.running, c)
			continue
		}
		delete(m.calls, d.ID)
		load := m.oldLoad(t)
		m.origins[c.origin].finished(c.target, c.kind, balance.CallResult{Load: &load, Refused: true}, m.now)
		m.send(c)
	}
}

type modelResult struct {
	meanMs, p99Ms, refusedShare float64
	// refusedWork is the refused share of the work instead of the requests.
	refusedWork float64
	// spread is the coefficient of variation of the targets' mean utilization. oscillation is the standard deviation of the calls
	// per slot at a target over time, averaged over the targets. peak is the 99th percentile of a target's arrivals in 100 ms
	// relative to its mean.
	spread, oscillation, peak float64
}

func (m *model) result() modelResult {
	var r modelResult
	slices.Sort(m.latencies)
	r.meanMs, _ = meanAndDeviation(m.latencies)
	r.p99Ms = m.latencies[len(m.latencies)*99/100]
	r.refusedShare = float64(m.refused) / float64(m.refused+len(m.latencies))
	r.refusedWork = m.refusedMs / (m.refusedMs + m.workMs)
	var busy, peaks []float64
	for _, t := range m.targets {
		busy = append(busy, t.busyMs)
		_, deviation := meanAndDeviation(t.calls)
		r.oscillation += deviation / modelTargets
		arrivals := t.arrivals[warmMs/windowMs:]
		mean, _ := meanAndDeviation(arrivals)
		for _, n := range arrivals {
			peaks = append(peaks, n/mean)
		}
	}
	mean, deviation := meanAndDeviation(busy)
	r.spread = deviation / mean
	slices.Sort(peaks)
	r.peak = peaks[len(peaks)*99/100]
	return r
}

func meanAndDeviation(values []float64) (mean, deviation float64) {
	for _, v := range values {
		mean += v / float64(len(values))
	}
	for _, v := range values {
		deviation += (v - mean) * (v - mean) / float64(len(values))
	}
	return mean, math.Sqrt(deviation)
}

func newCompletionBased(r *rand.Rand) placement {
	return completionBased{costLearner{workcost.New()}, balance.New(balance.DefaultConfig("x"), r), make(map[int][]float64)}
}

var modelPlacements = []struct {
	name               string
	costs, reportSpeed bool
	new                func(r *rand.Rand) placement
}{
	{"today", false, true, func(r *rand.Rand) placement {
		return loadBased{balancer: balance.New(balance.DefaultConfig("x"), r)}
	}},
	{"leastWork", true, true, func(r *rand.Rand) placement {
		return &leastWork{costLearner: costLearner{workcost.New()}, random: r}
	}},
	{"speedWeighted", true, true, func(r *rand.Rand) placement {
		return &leastWork{costLearner: costLearner{workcost.New()}, random: r, bySpeed: true}
	}},
	{"completion", true, true, newCompletionBased},
	{"completionNoSpeed", true, false, newCompletionBased},
}

// The load is 70%, 95% and 130% of what 20 targets of three speeds complete. Their machines are shared with others, and their
// reports are 50 to 500 ms old. Guards against a choice that is slower or refuses more work than the one without costs, that lets
// all origins choose the same target together, or that oscillates; also if the reports leave out the speed of the machine itself.
// In overload, the share of the refused requests depends on their mix, so the share of the refused work is compared.
func TestPlacementsUnderUnevenLoad(t *testing.T) {
	const seed = 11
	t.Logf("seed=%d", seed)
	for _, load := range []float64{0.7, 0.95, 1.3} {
		t.Run(fmt.Sprintf("load=%v", load), func(t *testing.T) {
			t.Parallel()
			results := make(map[string]modelResult)
			for _, p := range modelPlacements {
				m := newModel(seed, p.costs, p.reportSpeed, p.new)
				m.run(load)
				r := m.result()
				results[p.name] = r
				t.Logf("%-17s mean=%.0f ms p99=%.0f ms refused=%.1f%% refusedWork=%.1f%% spread=%.2f oscillation=%.2f peak=%.2f",
					p.name, r.meanMs, r.p99Ms, 100*r.refusedShare, 100*r.refusedWork, r.spread, r.oscillation, r.peak)
			}
			// The tolerances are the differences between seeds of the same placement.
			today := results["today"]
			for _, name := range []string{"completion", "completionNoSpeed"} {
				r := results[name]
				assert.Assert(t, r.meanMs <= 1.01*today.meanMs, name)
				assert.Assert(t, r.p99Ms <= 1.05*today.p99Ms, name)
				assert.Assert(t, r.refusedWork <= today.refusedWork+0.01, name)
				assert.Assert(t, r.oscillation <= 1.15*today.oscillation, name)
				assert.Assert(t, r.peak <= 1.2*today.peak, name)
			}
		})
	}
}
