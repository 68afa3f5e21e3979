package forward_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/forward"
	"coltsfootusher.example/core/clock"
)

// Load pattern: every request for a service fails and all nodes repeat what they may. Guards against repeats of the whole
// fleet beyond the share and the fixed number, also with many nodes.
func TestRepeatsOfTheFleetStayWithinTheBound(t *testing.T) {
	const share, slack, windowSeconds = 0.2, 48, 10
	for _, nodes := range []int{1, 13, 80} {
		budgets := make([]*forward.ServiceBudget, nodes)
		for i := range budgets {
			budgets[i] = forward.NewServiceBudget(share, slack/windowSeconds)
			budgets[i].SetFleet(nodes)
		}
		requests, repeats := 0, 0
		for now := clock.Millis(100_000); now < 100_000+windowSeconds*1000; now += 20 {
			for _, b := range budgets {
				b.OnRequest("trails", now)
				requests++
				if b.TryRepeat("trails", now) {
					repeats++
				}
			}
		}
		// Repeats at four levels of a chain add up at the deepest service.
		allowed := (share*float64(requests) + slack) / 4
		assert.Assert(t, float64(repeats) <= allowed+float64(nodes), "%d nodes: %d repeats, %v allowed", nodes, repeats, allowed)
	}
}
