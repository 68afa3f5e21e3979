package forward_test

import (
	"math/rand/v2"
	"strconv"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/forward"
	"coltsfootusher.example/core/clock"
)

const (
	retryShare    = 0.2
	retrySlack    = 48
	windowSeconds = 10
)

// Every request for a service fails, and all nodes retry as often as they may. Guards against retries of the whole fleet beyond
// the fraction and the fixed number, also with many nodes.
func TestFleetRetriesStayWithinTheBudget(t *testing.T) {
	for _, nodes := range []int{1, 13, 80} {
		budgets := newFleetBudgets(nodes)
		requests, retries := 0, 0
		for now := clock.Millis(100_000); now < 100_000+windowSeconds*1000; now += 20 {
			for _, b := range budgets {
				b.OnRequest("trails", 0, now)
				requests++
				if b.TryRetry("trails", now) {
					retries++
				}
			}
		}
		allowed := retryShare*float64(requests) + retrySlack
		assert.Assert(t, float64(retries) <= allowed, "%d nodes: %d retries, %v allowed", nodes, retries, allowed)
	}
}

func newFleetBudgets(nodes int) []*forward.ServiceRetryBudget {
	budgets := make([]*forward.ServiceRetryBudget, nodes)
	for i := range budgets {
		budgets[i] = forward.NewServiceRetryBudget(retryShare, retrySlack/windowSeconds)
		budgets[i].SetFleetSize(nodes)
	}
	return budgets
}

// callChain is a fleet whose requests call each service once, except for the deepest one, which they call four times.
type callChain struct {
	budgets     []*forward.ServiceRetryBudget
	random      *rand.Rand
	failureRate float64
	now         clock.Millis
	requests    [chainDepth]int
	retries     [chainDepth]int
	retryPart   [chainDepth]float64
}

const (
	chainDepth          = 4
	deepestServiceCalls = 4
	averagingWeight     = 0.02
)

// call sends a request to the service at the depth and reports success. retry is true if the request is a retry or was caused by
// one.
func (c *callChain) call(depth int, retry bool) bool {
	service := strconv.Itoa(depth)
	budget := c.budgets[c.random.IntN(len(c.budgets))]
	c.requests[depth]++
	// A node knows only which fraction of the requests that its target runs are retries.
	expected := 0.0
	if depth > 0 {
		expected = c.retryPart[depth-1]
	}
	budget.OnRequest(service, expected, c.now)
	for {
		if retry {
			c.retries[depth]++
		}
		c.retryPart[depth] += averagingWeight * (toFloat(retry) - c.retryPart[depth])
		if c.run(depth, retry) {
			return true
		}
		if !budget.TryRetry(service, c.now) {
			return false
		}
		retry = true
	}
}

func (c *callChain) run(depth int, retry bool) bool {
	if depth == chainDepth-1 {
		return c.random.Float64() >= c.failureRate
	}
	calls := 1
	if depth == chainDepth-2 {
		calls = deepestServiceCalls
	}
	for range calls {
		if !c.call(depth+1, retry) {
			return false
		}
	}
	return true
}

func toFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// The deepest service of a call chain fails, and each level retries as often as it may. Guards against retries that multiply from
// level to level beyond the budget of the deepest service.
func TestRetriesInCallChainStayWithinTheBudget(t *testing.T) {
	const seed = 3
	t.Logf("seed=%d", seed)
	for _, fails := range []float64{0.05, 0.3, 0.55, 1} {
		c := &callChain{budgets: newFleetBudgets(13), random: rand.New(rand.NewPCG(seed, 0)), failureRate: fails, now: 100_000}
		for end := c.now + windowSeconds*1000; c.now < end; c.now += 4 {
			c.call(0, false)
		}
		for depth := range chainDepth {
			allowed := retryShare*float64(c.requests[depth]) + retrySlack
			assert.Check(t, float64(c.retries[depth]) <= allowed, "failure rate %v, depth %d: %d retries, %v allowed", fails, depth,
				c.retries[depth], allowed)
		}
	}
}
