package forward

import (
	"sync"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// levels is the depth of a call chain over which the share of repeats is divided: a repeat at one level repeats all
// calls below it.
const levels = 4

// ServiceBudget bounds the repeats of this node for each service to a share of the requests for it.
type ServiceBudget struct {
	percent   float64
	perSecond float64

	mu      sync.Mutex
	budgets map[string]*retry.Budget
}

// NewServiceBudget returns a budget of this node's part of the fleet's repeats: a share of the requests, and perSecond
// repeats a second beyond it.
func NewServiceBudget(share, perSecond float64) *ServiceBudget {
	const percent = 100
	return &ServiceBudget{percent: share / levels * percent, perSecond: perSecond, budgets: make(map[string]*retry.Budget)}
}

func (b *ServiceBudget) of(service string) *retry.Budget {
	b.mu.Lock()
	defer b.mu.Unlock()
	budget := b.budgets[service]
	if budget == nil {
		budget = retry.New(b.percent, b.perSecond)
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
