package passage

import (
	"math/rand/v2"
	"sync"

	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// LockedBalancer makes a balancer usable by concurrent requests.
type LockedBalancer struct {
	mu       sync.Mutex
	config   balance.Config
	random   *rand.Rand
	balancer *balance.Balancer
}

// NewLockedBalancer returns a balancer with the default policy.
func NewLockedBalancer(seed uint64, config balance.Config) *LockedBalancer {
	random := rand.New(rand.NewPCG(seed, seed))
	return &LockedBalancer{config: config, random: random, balancer: balance.New(config, random)}
}

// SetRoundRobin switches between round robin and the load-based policy; a switch forgets the known loads.
func (b *LockedBalancer) SetRoundRobin(on bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.config.RoundRobin == on {
		return
	}
	b.config.RoundRobin = on
	b.balancer = balance.New(b.config, b.random)
}

// Choose chooses a target.
func (b *LockedBalancer) Choose(
	candidates []balance.Candidate, exclude map[string]bool, now clock.Millis,
) (balance.Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.balancer.Choose(candidates, exclude, now)
}

// Started reports that a call was sent to the node.
func (b *LockedBalancer) Started(node string, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.Started(node, now)
}

// Finished reports that a call sent to the node has ended.
func (b *LockedBalancer) Finished(node string, report balance.Report, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balancer.Finished(node, report, now)
}

// LockedBudget makes a retry budget usable by concurrent requests.
type LockedBudget struct {
	mu     sync.Mutex
	budget *retry.Budget
}

// NewLockedBudget returns the budget behind a lock.
func NewLockedBudget(budget *retry.Budget) *LockedBudget {
	return &LockedBudget{budget: budget}
}

// OnSuccess counts a successful call.
func (b *LockedBudget) OnSuccess(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.OnSuccess(now)
}

// TryRetry reports whether a retry is within the budget and uses it.
func (b *LockedBudget) TryRetry(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.budget.TryRetry(now)
}

// Configure sets the budget in percent of the successful calls, and its floor in retries per second.
func (b *LockedBudget) Configure(percent, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.budget.Configure(percent, minPerSecond)
}
