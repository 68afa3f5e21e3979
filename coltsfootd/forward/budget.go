package forward

import (
	"sync"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// levels is the depth of a call chain over which the share of repeats is divided: a repeat at one level repeats all
// calls below it.
const levels = 4

// ServiceBudget bounds the repeats of this node for each service, so that those of all nodes together stay within a share
// of the requests for the service and a fixed number above it.
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
		percent: share / levels * percent, fleetPerSecond: fleetPerSecond, nodes: 1, budgets: make(map[string]*retry.Budget),
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
	return b.fleetPerSecond / float64(levels*b.nodes)
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

// OnRequest counts a request for the service.
func (b *ServiceBudget) OnRequest(service string, now clock.Millis) {
	b.of(service).OnSuccess(now)
}

// TryRepeat uses one repeat and reports whether one was left.
func (b *ServiceBudget) TryRepeat(service string, now clock.Millis) bool {
	return b.of(service).TryRetry(now)
}
