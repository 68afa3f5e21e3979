package directory

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/roster"
)

// Guards against a changed constant with which a change of the published values is in force too late on the nodes that the
// platform serves, while it turns away the largest share of the others, and all of those that would read first. The takeover
// waits neither for a rejected read nor for one without an answer, so that the sum is the same for both.
func TestChangesAreInForceInTimeWithoutTheFirstReaders(t *testing.T) {
	const (
		// turnedAwayPercent is the largest share of nodes that the platform turns away while it serves the others.
		turnedAwayPercent = 35
		// hops is the number of nodes that an update passes through, callMs allows for a call to one of them or to the platform.
		hops                = 2
		callMs clock.Millis = 50
	)
	tickMs := clock.FromDuration(tickInterval)
	for _, c := range []struct {
		nodes             int
		policyMs, drainMs clock.Millis
	}{
		{12, 2000, 2000}, {13, 2000, 2000}, {67, 2500, 2500}, {80, 2500, 2500}, {195, 3000, 3000}, {2500, 7000, 3000},
	} {
		t.Run(fmt.Sprint(c.nodes), func(t *testing.T) {
			turnedAway := (c.nodes*turnedAwayPercent + 99) / 100
			// The change is acknowledged just after the last answered read was sent.
			read := confirmationSchedule.ReadAge(turnedAway) + tickMs
			policy := read + callMs + hops*callMs
			leaving := policy + callMs
			removal := leaving + roster.UnlistedGraceMs + tickMs
			// A watch that delivers nothing is noticed by a read of the policy. The list may just have been read.
			noticed := confirmationSchedule.ReadEveryMs + tickMs + callMs + watchDeliveryMs
			unwatched := max(noticed, minListIntervalMs) + tickMs + callMs + hops*callMs + roster.UnlistedGraceMs + tickMs
			assert.Assert(t, unwatched <= c.drainMs, "removed target after %d ms without a watch", unwatched)
			assert.Assert(t, policy <= c.policyMs, "policy after %d ms", policy)
			assert.Assert(t, leaving <= c.drainMs, "leaving target after %d ms", leaving)
			assert.Assert(t, removal <= c.drainMs, "removed target after %d ms", removal)
		})
	}
}
