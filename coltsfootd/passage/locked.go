package passage

import (
	"math/rand/v2"
	"sync"

	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/clock"
)

// LockedBalancer is a balancer that is safe for concurrent use.
type LockedBalancer struct {
	mu       sync.Mutex
	config   balance.Config
	balancer *balance.Balancer
}

// NewLockedBalancer returns a balancer with the configuration.
func NewLockedBalancer(seed uint64, config balance.Config) *LockedBalancer {
	random := rand.New(rand.NewPCG(seed, seed))
	return &LockedBalancer{config: config, balancer: balance.New(config, random)}
}

// SetRoundRobin switches between round robin and the load-based policy.
func (b *LockedBalancer) SetRoundRobin(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.config.RoundRobin == on {
		return
	}
	b.config.RoundRobin = on
	b.balancer.Configure(b.config)
}

// Choose selects one of the candidates that are not excluded.
func (b *LockedBalancer) Choose(
	candidates []balance.Candidate, exclude map[string]bool, now clock.Millis,
) (balance.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.Choose(candidates, exclude, now)
}

// ChooseForCost selects one of the candidates for a request with the expected slot time; 0 means that it is not known.
func (b *LockedBalancer) ChooseForCost(
	costMs float64, candidates []balance.Candidate, now clock.Millis,
) (balance.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.ChooseForCost(costMs, candidates, nil, now)
}

// Preview makes a choice without any effect on later choices; see balance.Balancer.Preview.
func (b *LockedBalancer) Preview(
	costMs float64, candidates []balance.Candidate, random *rand.Rand, now clock.Millis,
) (int, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.Preview(costMs, candidates, random, now)
}

// Facts returns what a choice knows about a candidate.
func (b *LockedBalancer) Facts(costMs float64, candidates []balance.Candidate, i int, now clock.Millis) balance.CandidateFacts {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.Facts(costMs, candidates, i, now)
}

// StartedWork reports that a call with the expected slot time was sent to the node.
func (b *LockedBalancer) StartedWork(node string, costMs float64, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.StartedWork(node, costMs, now)
}

// Started reports that a call was sent to the node.
func (b *LockedBalancer) Started(node string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.Started(node, now)
}

// Finished reports that a call sent to the node has ended.
func (b *LockedBalancer) Finished(node string, report balance.CallResult, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.Finished(node, report, now)
}
