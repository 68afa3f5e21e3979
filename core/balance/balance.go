package balance

import (
	"math"
	"math/rand/v2"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

const (
	// latencySampleWeight is the weight of a new sample in the moving mean of a node's latency.
	latencySampleWeight = 0.1
	// minRampShare is the fraction of its slots with which a node is counted when its ejection ends.
	minRampShare = 0.1
	// maxEjectionDoublings limits the growth of the ejection time so that it cannot overflow.
	maxEjectionDoublings = 16
)

// Candidate is a node whose target can handle the call.
type Candidate struct {
	Node          string
	FailureDomain string
	// NetworkDelayMs is the round-trip time that the network adds to a call to this node.
	NetworkDelayMs float64
	// Slots is the published number of calls that the target runs at a time. It is used until the node reports a limit.
	Slots int
}

// Config holds the parameters of a balancer.
type Config struct {
	// FailureDomain is the failure domain of this node.
	FailureDomain string
	// RoundRobin is true when the policy is off: candidates are chosen in turn, regardless of their loads and failures.
	RoundRobin bool
	// LoadHalfLifeMs is the age at which a reported load has half of its weight.
	LoadHalfLifeMs clock.Millis
	// AvoidLeavingMs is the time for which a node is not chosen after it reported that it is leaving.
	AvoidLeavingMs clock.Millis
	// EjectAfter is the number of consecutive failures after which a node is ejected; 0 means never.
	EjectAfter int
	// EjectionMs is the duration of the first ejection. It doubles with each further one up to MaxEjectionMs.
	EjectionMs    clock.Millis
	MaxEjectionMs clock.Millis
	// MaxEjectedFraction limits the fraction of candidates that are ejected. At least one candidate always remains.
	MaxEjectedFraction float64
	// RampMs is the time after an ejection in which a node's share of the calls grows back to its full value.
	RampMs clock.Millis
}

// DefaultConfig returns the default parameters for a node in the failure domain.
func DefaultConfig(failureDomain string) Config {
	return Config{
		FailureDomain:      failureDomain,
		LoadHalfLifeMs:     200,
		AvoidLeavingMs:     5000,
		EjectAfter:         5,
		EjectionMs:         500,
		MaxEjectionMs:      30_000,
		MaxEjectedFraction: 0.5,
		RampMs:             2000,
	}
}

// Choice is a chosen node with the data that the choice is based on.
type Choice struct {
	Node string
	// WaitMs is the estimated wait at the node.
	WaitMs float64
	// LoadAgeMs is the age of the reported load, or -1 when the node has not reported any.
	LoadAgeMs clock.Millis
	// Work is set if the choice was based on the expected cost of the request.
	Work WorkFacts
}

// CallResult is the result of a call to a node.
type CallResult struct {
	// Load is the load that came with the response, or nil.
	Load *call.Load
	// LatencyMs is the duration of the whole call.
	LatencyMs float64
	// Failed is true when the node or its target failed; refusals are not failures.
	Failed bool
	// Refused is true when the node refused the call; its latency then says nothing about the target.
	Refused bool
	// CostMs is the expected cost that was given to StartedWork; TargetMs is the time that the target took, 0 if it is not known.
	CostMs, TargetMs float64
}

// node is the state that the balancer keeps for a node.
type node struct {
	inFlight  int
	load      call.Load
	loadKnown bool
	loadAt    clock.Millis
	// othersCalls is the number of calls in the reported load that came from other nodes.
	othersCalls int
	latencyMs   float64
	work        nodeWork

	failures     int
	ejections    int
	ejectedUntil clock.Millis
}

// Balancer chooses nodes among candidates and records the results of their calls.
type Balancer struct {
	config          Config
	random          *rand.Rand
	nodes           map[string]*node
	roundRobinIndex int
	// latencyMs is the moving mean over all nodes. It is used for a node that has not responded yet, since a new node
	// would otherwise seem to have no wait, however many calls it gets.
	latencyMs float64
	// usable is kept between choices, so that they don't allocate.
	usable []int
}

// New returns a balancer without any recorded loads.
func New(config Config, random *rand.Rand) *Balancer {
	return &Balancer{config: config, random: random, nodes: make(map[string]*node)}
}

// Configure changes the parameters. The state of the nodes is kept.
func (b *Balancer) Configure(config Config) {
	b.config = config
}

// Choose returns the node for the next call, or false when every candidate is excluded or leaving.
// The caller must report the call with Started and Finished.
func (b *Balancer) Choose(candidates []Candidate, exclude map[string]bool, now clock.Millis) (Choice, bool) {
	return b.ChooseForCost(0, candidates, exclude, now)
}

// ChooseForCost chooses like Choose by the expected completion time of a request whose expected slot time at the usual speed is
// costMs. A cost of 0 is not known; the choice is then the same as that of Choose.
func (b *Balancer) ChooseForCost(
	costMs float64, candidates []Candidate, exclude map[string]bool, now clock.Millis,
) (Choice, bool) {
	if b.config.RoundRobin {
		return b.chooseRoundRobin(candidates, exclude, now)
	}
	chosen, ok := b.selectNode(b.newSelection(costMs, candidates, exclude, b.random, now))
	if !ok {
		return Choice{}, false
	}
	choice := b.newChoice(candidates[chosen], now)
	if costMs > 0 {
		choice.Work = b.workFacts(candidates[chosen], costMs, now)
		choice.WaitMs = choice.Work.WaitMs
	}
	return choice, true
}

func (b *Balancer) newSelection(
	costMs float64, candidates []Candidate, exclude map[string]bool, random *rand.Rand, now clock.Millis,
) selection {
	return selection{
		balancer: b, candidates: candidates, exclude: exclude, random: random, now: now, costMs: costMs,
		maxEjected: min(int(b.config.MaxEjectedFraction*float64(len(candidates))), len(candidates)-1),
	}
}

// selectNode returns the index of the chosen candidate.
func (b *Balancer) selectNode(s selection) (int, bool) {
	chosen, ok := s.choose()
	if !ok {
		// All remaining nodes are ejected, for example because the others are excluded.
		s.maxEjected = 0
		chosen, ok = s.choose()
	}
	return chosen, ok
}

// Started counts a call that is sent to the node.
func (b *Balancer) Started(name string, _ clock.Millis) {
	b.node(name).inFlight++
}

// Finished records the result of a call that was reported with Started.
func (b *Balancer) Finished(name string, result CallResult, now clock.Millis) {
	n := b.node(name)
	n.inFlight = max(0, n.inFlight-1)
	if result.Load != nil {
		n.load, n.loadKnown, n.loadAt = *result.Load, true, now
		n.othersCalls = max(0, n.load.Running+n.load.Waiting-n.inFlight)
	}
	n.finishWork(result, now)
	switch {
	case result.Failed:
		b.recordFailure(n, now)
	case !result.Refused:
		b.recordSuccess(n, result.LatencyMs, now)
	}
}

// Remove deletes the state of a node that has left permanently.
func (b *Balancer) Remove(name string) {
	delete(b.nodes, name)
}

func (b *Balancer) node(name string) *node {
	n := b.nodes[name]
	if n == nil {
		n = &node{}
		b.nodes[name] = n
	}
	return n
}

// recordFailure ejects the node after EjectAfter consecutive failures. Failures during an ejection, mostly of calls sent
// before it, do not extend it.
func (b *Balancer) recordFailure(n *node, now clock.Millis) {
	if now < n.ejectedUntil {
		return
	}
	n.failures++
	// A node that fails while its share still ramps up has not recovered, so a single failure ejects it again.
	ramping := n.ejections > 0 && now < n.ejectedUntil+b.config.RampMs
	if b.config.EjectAfter == 0 || n.failures < b.config.EjectAfter && !ramping {
		return
	}
	durationMs := b.config.EjectionMs << min(n.ejections, maxEjectionDoublings)
	durationMs = min(durationMs, b.config.MaxEjectionMs)
	// Jitter of up to a quarter prevents nodes from probing a failed target at the same time.
	n.ejectedUntil = now + durationMs + clock.Millis(b.random.Float64()*float64(durationMs)/4)
	n.ejections++
	n.failures = 0
}

func (b *Balancer) recordSuccess(n *node, latencyMs float64, now clock.Millis) {
	n.failures = 0
	n.latencyMs = movingMean(n.latencyMs, latencyMs)
	b.latencyMs = movingMean(b.latencyMs, latencyMs)
	if now >= n.ejectedUntil+b.config.RampMs {
		n.ejections = 0
	}
}

// movingMean adds a sample to an exponentially weighted moving mean; a mean of 0 stands for no samples.
func movingMean(mean, sample float64) float64 {
	if mean == 0 {
		return sample
	}
	return mean + latencySampleWeight*(sample-mean)
}

func (b *Balancer) chooseRoundRobin(candidates []Candidate, exclude map[string]bool, now clock.Millis) (Choice, bool) {
	for range candidates {
		b.roundRobinIndex = (b.roundRobinIndex + 1) % len(candidates)
		if c := candidates[b.roundRobinIndex]; !exclude[c.Node] {
			return b.newChoice(c, now), true
		}
	}
	return Choice{}, false
}

func (b *Balancer) newChoice(c Candidate, now clock.Millis) Choice {
	n := b.nodes[c.Node]
	choice := Choice{Node: c.Node, LoadAgeMs: -1}
	choice.WaitMs, _ = b.estimateWait(c, now)
	if n != nil && n.loadKnown {
		choice.LoadAgeMs = now - n.loadAt
	}
	return choice
}

// estimateWait returns the expected wait of a call to the candidate in milliseconds, and the utilization of the candidate's
// slots including that call.
func (b *Balancer) estimateWait(c Candidate, now clock.Millis) (waitMs, utilization float64) {
	slots := float64(max(1, c.Slots))
	n := b.nodes[c.Node]
	if n == nil {
		return 0, 1 / slots
	}
	freshness := 0.0
	if n.loadKnown {
		slots = float64(max(1, n.load.Limit))
		freshness = math.Exp2(-float64(now-n.loadAt) / float64(max(1, b.config.LoadHalfLifeMs)))
	}
	slots *= b.rampShare(n, now)
	calls := float64(n.inFlight) + freshness*float64(n.othersCalls) + 1
	latencyMs := n.latencyMs
	if latencyMs == 0 {
		latencyMs = b.latencyMs
	}
	waitMs = max(0, calls-slots) * latencyMs / slots
	return max(waitMs, freshness*float64(n.load.WaitMs)), calls / slots
}

// rampShare returns the fraction of its slots with which a node is counted; it is below 1 for RampMs after an ejection.
func (b *Balancer) rampShare(n *node, now clock.Millis) float64 {
	elapsed := now - n.ejectedUntil
	if n.ejections == 0 || elapsed >= b.config.RampMs {
		return 1
	}
	return max(minRampShare, float64(elapsed)/float64(b.config.RampMs))
}
