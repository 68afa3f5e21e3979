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

// Load pattern: every request for a service fails and all nodes repeat what they may. Guards against repeats of the whole
// fleet beyond the share and the fixed number, also with many nodes.
func TestFleetRetriesStayWithinTheBudget(t *testing.T) {
	for _, nodes := range []int{1, 13, 80} {
		budgets := newFleetBudgets(nodes)
		requests, repeats := 0, 0
		for now := clock.Millis(100_000); now < 100_000+windowSeconds*1000; now += 20 {
			for _, b := range budgets {
				b.OnRequest("trails", 0, now)
				requests++
				if b.TryRetry("trails", now) {
					repeats++
				}
			}
		}
		allowed := retryShare*float64(requests) + retrySlack
		assert.Assert(t, float64(repeats) <= allowed, "%d nodes: %d repeats, %v allowed", nodes, repeats, allowed)
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

// callChain is a fleet whose requests call each service once, but the deepest one four times.
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

// call sends a request to the service at the depth; repeat is true if it stems from a repeat. It reports success.
func (c *callChain) call(depth int, repeat bool) bool {
	service := strconv.Itoa(depth)
	budget := c.budgets[c.random.IntN(len(c.budgets))]
	c.requests[depth]++
	// A node knows only which part of the requests that its target runs are repeats.
	expected := 0.0
	if depth > 0 {
		expected = c.retryPart[depth-1]
	}
	budget.OnRequest(service, expected, c.now)
	for {
		if repeat {
			c.retries[depth]++
		}
		c.retryPart[depth] += averagingWeight * (toFloat(repeat) - c.retryPart[depth])
		if c.run(depth, repeat) {
			return true
		}
		if !budget.TryRetry(service, c.now) {
			return false
		}
		repeat = true
	}
}

func (c *callChain) run(depth int, repeat bool) bool {
	if depth == chainDepth-1 {
		return c.random.Float64() >= c.failureRate
	}
	calls := 1
	if depth == chainDepth-2 {
		calls = deepestServiceCalls
	}
	for range calls {
		if !c.call(depth+1, repeat) {
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

// Load pattern: the deepest service of a chain fails and each level repeats what it may. Guards against repeats that
// multiply from level to level beyond the bound of the deepest service.
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
			assert.Check(t, float64(c.retries[depth]) <= allowed, "failing %v, depth %d: %d repeats, %v allowed", fails, depth,
				c.retries[depth], allowed)
		}
	}
}
