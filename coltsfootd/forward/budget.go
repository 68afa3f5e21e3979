package forward

import (
	"sync"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// usedRetryShare is the fraction of the permitted retries that is used. The rest covers calls of retried requests that are in
// progress when a service begins to fail.
const usedRetryShare = 0.8

// ServiceRetryBudget limits the retries of this node for each service, so that the retries of all nodes together stay within a
// fraction of the requests for the service plus a fixed number. Calls made by a retried request count as retries at the called
// services.
type ServiceRetryBudget struct {
	retryPercent float64
	// fleetRetriesPerSecond is the fixed number of retries per second of all nodes together.
	fleetRetriesPerSecond float64

	mu      sync.Mutex
	nodes   int
	budgets map[string]*retry.Budget
}

// NewServiceRetryBudget returns a budget for a fleet of one node.
func NewServiceRetryBudget(retryShare, fleetRetriesPerSecond float64) *ServiceRetryBudget {
	const percent = 100
	return &ServiceRetryBudget{
		retryPercent: usedRetryShare * retryShare * percent, fleetRetriesPerSecond: usedRetryShare * fleetRetriesPerSecond, nodes: 1,
		budgets: make(map[string]*retry.Budget),
	}
}

// SetFleetSize divides the fixed number of retries among the nodes.
func (b *ServiceRetryBudget) SetFleetSize(nodes int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.nodes = max(1, nodes)
	for _, budget := range b.budgets {
		budget.Configure(b.retryPercent, b.retriesPerSecond())
	}
}

func (b *ServiceRetryBudget) retriesPerSecond() float64 {
	return b.fleetRetriesPerSecond / float64(b.nodes)
}

func (b *ServiceRetryBudget) forService(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.New(b.retryPercent, b.retriesPerSecond())
		b.budgets[service] = budget
	}
	return budget
}

// OnRequest counts a request for the service. repeated is the probability, from 0 to 1, that it is a retry or was caused by one.
func (b *ServiceRetryBudget) OnRequest(service string, repeated float64, now clock.Millis) {
	budget := b.forService(service)
	budget.OnSuccess(now)
	if repeated > 0 {
		budget.Deduct(repeated, now)
	}
}

// TryRetry uses one retry of the budget and reports whether one was left.
func (b *ServiceRetryBudget) TryRetry(service string, now clock.Millis) bool {
	return b.forService(service).TrySpend(now)
}
