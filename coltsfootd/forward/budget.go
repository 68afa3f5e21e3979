package forward

import (
	"sync"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// usedShare is the part of the allowed repeats that is used. The rest covers calls of repeated requests that are under way
// when a service begins to fail.
const usedShare = 0.8

// ServiceBudget bounds the repeats of this node for each service, so that those of all nodes together stay within a share
// of the requests for the service and a fixed number above it. The calls that a repeated request makes are repeats at the
// services that it calls.
type ServiceBudget struct {
	percent float64
	// fleetPerSecond is the fixed number of repeats a second of all nodes together.
	fleetPerSecond float64

	mu      sync.Mutex
	nodes   int
	budgets map[string]*retry.Budget
}

// NewServiceBudget returns a budget of a fleet of one node.
func NewServiceBudget(share, fleetPerSecond float64) *ServiceBudget {
	const percent = 100
	return &ServiceBudget{
		percent: usedShare * share * percent, fleetPerSecond: usedShare * fleetPerSecond, nodes: 1,
		budgets: make(map[string]*retry.Budget),
	}
}

// SetFleet divides the fixed number of repeats among the nodes.
func (b *ServiceBudget) SetFleet(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, nodes)
	for _, budget := range b.budgets {
		budget.Configure(b.percent, b.perSecond())
	}
}

func (b *ServiceBudget) perSecond() float64 {
	return b.fleetPerSecond / float64(b.nodes)
}

func (b *ServiceBudget) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.New(b.percent, b.perSecond())
		b.budgets[service] = budget
	}
	return budget
}

// OnRequest counts a request for the service; repeated is the probability, from 0 to 1, that it stems from a repeat.
func (b *ServiceBudget) OnRequest(service string, repeated float64, now clock.Millis) {
	budget := b.of(service)
	budget.OnSuccess(now)
	if repeated > 0 {
		budget.Deduct(repeated, now)
	}
}

// TryRepeat uses one repeat and reports whether one was left.
func (b *ServiceBudget) TryRepeat(service string, now clock.Millis) bool {
	return b.of(service).TryRetry(now)
}
