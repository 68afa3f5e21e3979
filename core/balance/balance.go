package balance

import (
	"math"
	"math/rand/v2"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

const (
	// latencySampleWeight is the weight of one sample in the moving mean of a node's latency.
	latencySampleWeight = 0.1
	// minRampShare is the share of its slots that a node is taken to have when its ejection ends.
	minRampShare = 0.1
	// maxEjectionDoublings bounds the growth of the ejection time against overflow.
	maxEjectionDoublings = 16
)

// Candidate is a node whose target can handle the call.
type Candidate struct {
	Node          string
	FailureDomain string
	// NetworkDelayMs is the round-trip time that the network adds to a call to this node.
	NetworkDelayMs float64
	// Slots is the published number of calls that the target runs at a time, used until the node reports a limit.
	Slots int
}

// Config holds the parameters of a balancer.
type Config struct {
	// FailureDomain is the domain of this node.
	FailureDomain string
	// RoundRobin is true when the policy is off: candidates take turns, without loads and ejection.
	RoundRobin bool
	// LoadHalfLifeMs is the age at which a reported load counts half.
	LoadHalfLifeMs clock.Millis
	// AvoidLeavingMs is the time for which a node that reported itself leaving is not chosen.
	AvoidLeavingMs clock.Millis
	// EjectAfter is the number of failures in a row after which a node is ejected; 0 means never.
	EjectAfter int
	// EjectionMs is the length of the first ejection; it doubles with each further one up to MaxEjectionMs.
	EjectionMs    clock.Millis
	MaxEjectionMs clock.Millis
	// MaxEjectedFraction bounds the ejected share of the candidates. At least one candidate always stays.
	MaxEjectedFraction float64
	// RampMs is the time in which a node gets back its full share after an ejection.
	RampMs clock.Millis
}

// DefaultConfig returns the parameters for a node in the failure domain.
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

// Choice is a chosen node with the facts used.
type Choice struct {
	Node string
	// WaitMs is the estimated wait at the node.
	WaitMs float64
	// LoadAgeMs is the age of the load used, or -1 when the node has not reported any.
	LoadAgeMs clock.Millis
}

// CallResult is the result of a call to a node.
type CallResult struct {
	// Load is the load that came with the response, or nil.
	Load *call.Load
	// LatencyMs is the time of the whole call.
	LatencyMs float64
	// Failed is true when the node or its target failed; refusals are not failures.
	Failed bool
	// Refused is true when the node refused the call, so that its latency says nothing about the target.
	Refused bool
}

// node is what is known of one node.
type node struct {
	inFlight  int
	load      call.Load
	loadKnown bool
	loadAt    clock.Millis
	// othersCalls is the part of the reported load that other nodes caused.
	othersCalls int
	latencyMs   float64

	failures     int
	ejections    int
	ejectedUntil clock.Millis
}

// Balancer chooses among candidates and learns from the results.
type Balancer struct {
	config          Config
	random          *rand.Rand
	nodes           map[string]*node
	roundRobinIndex int
	// latencyMs is the mean over all nodes. It stands in for a node that has not answered yet, since a new node
	// would otherwise seem to have no wait however many calls it gets.
	latencyMs float64
}

// New returns a balancer that knows no loads yet.
func New(config Config, random *rand.Rand) *Balancer {
	return &Balancer{config: config, random: random, nodes: make(map[string]*node)}
}

// Configure changes the parameters; what is known of the nodes stays.
func (b *Balancer) Configure(config Config) {
	b.config = config
}

// Choose returns the node for the next call, or false when every candidate is excluded or leaving.
// The caller then reports the call with Started and Finished.
func (b *Balancer) Choose(candidates []Candidate, exclude map[string]bool, now clock.Millis) (Choice, bool) {
	if b.config.RoundRobin {
		return b.chooseRoundRobin(candidates, exclude, now)
	}
	s := selection{balancer: b, candidates: candidates, exclude: exclude, now: now}
	s.maxEjected = min(int(b.config.MaxEjectedFraction*float64(len(candidates))), len(candidates)-1)
	chosen, ok := s.choose()
	if !ok {
		// Only ejected nodes are left, for example because the others are excluded.
		s.maxEjected = 0
		chosen, ok = s.choose()
	}
	if !ok {
		return Choice{}, false
	}
	return b.newChoice(candidates[chosen], now), true
}

// Started counts a call that is sent to the node.
func (b *Balancer) Started(name string, _ clock.Millis) {
	b.node(name).inFlight++
}

// Finished takes the result of a call for which Started was called.
func (b *Balancer) Finished(name string, report CallResult, now clock.Millis) {
	n := b.node(name)
	n.inFlight = max(0, n.inFlight-1)
	if report.Load != nil {
		n.load, n.loadKnown, n.loadAt = *report.Load, true, now
		n.othersCalls = max(0, n.load.Running+n.load.Waiting-n.inFlight)
	}
	switch {
	case report.Failed:
		b.recordFailure(n, now)
	case !report.Refused:
		b.recordSuccess(n, report.LatencyMs, now)
	}
}

// Remove drops what is known of a node that has left for good.
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

// recordFailure ejects the node after enough failures in a row. Failures of calls sent before the ejection do not extend it.
func (b *Balancer) recordFailure(n *node, now clock.Millis) {
	if now < n.ejectedUntil {
		return
	}
	n.failures++
	// A node that fails while it still ramps up has not recovered.
	ramping := n.ejections > 0 && now < n.ejectedUntil+b.config.RampMs
	if b.config.EjectAfter == 0 || n.failures < b.config.EjectAfter && !ramping {
		return
	}
	length := b.config.EjectionMs << min(n.ejections, maxEjectionDoublings)
	length = min(length, b.config.MaxEjectionMs)
	// Jitter of up to a quarter keeps nodes from probing a failed target at the same time.
	n.ejectedUntil = now + length + clock.Millis(b.random.Float64()*float64(length)/4)
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

// movingMean adds a sample to a moving mean, where 0 stands for no samples.
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

// estimateWait returns the expected wait in milliseconds of a call to the candidate, and the use of its slots with that call.
func (b *Balancer) estimateWait(c Candidate, now clock.Millis) (waitMs, use float64) {
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

// rampShare returns the share of its slots that a node gets after an ejection.
func (b *Balancer) rampShare(n *node, now clock.Millis) float64 {
	since := now - n.ejectedUntil
	if n.ejections == 0 || since >= b.config.RampMs {
		return 1
	}
	return max(minRampShare, float64(since)/float64(b.config.RampMs))
}
