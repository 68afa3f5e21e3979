package balance

import (
	"math/rand/v2"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// Candidate is a target that may be chosen.
type Candidate struct {
	Node          string
	FailureDomain string
	DistanceMs    float64
	Slots         int
}

// Config holds the policy.
type Config struct {
	RoundRobin bool
}

// DefaultConfig returns the default policy.
func DefaultConfig() Config {
	return Config{}
}

// Choice is the chosen target with the facts used.
type Choice struct {
	Node      string
	WaitMs    float64
	LoadAgeMs clock.Millis
}

// Report says how a call to a target ended.
type Report struct {
	Load            *call.Load
	LatencyMs       float64
	Failed, Refused bool
}

// Balancer chooses round robin.
type Balancer struct {
	next int
}

// New returns a balancer.
func New(Config, *rand.Rand) *Balancer {
	return &Balancer{}
}

// Choose returns the next candidate that is not excluded.
func (b *Balancer) Choose(candidates []Candidate, exclude map[string]bool, _ clock.Millis) (Choice, bool) {
	for range candidates {
		b.next++
		if c := candidates[b.next%len(candidates)]; !exclude[c.Node] {
			return Choice{Node: c.Node}, true
		}
	}
	return Choice{}, false
}

// Started does nothing.
func (*Balancer) Started(string, clock.Millis) {}

// Finished does nothing.
func (*Balancer) Finished(string, Report, clock.Millis) {}
