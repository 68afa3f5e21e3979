package directory

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
)

// Guards against a changed constant with which nodes still send requests to an evacuated domain after the bound that operators
// set (evacuationSeconds is 5). Nodes that the platform doesn't serve have 5 s more.
func TestEvacuationsAreInForceInTime(t *testing.T) {
	const (
		boundMs       clock.Millis = 5000
		unservedMs    clock.Millis = 5000
		hops                       = 2
		callMs        clock.Millis = 50
		reconfigureMs clock.Millis = 100
		// A request that a gate has admitted can wait for a connection to its target (targetDialTimeout of coltsfootd/mesh).
		dialMs clock.Millis = 1000
		// turnedAwayPercent is the largest share of nodes that the platform turns away while it serves the others.
		turnedAwayPercent = 35
	)
	tickMs := clock.FromDuration(tickInterval)
	// Arriving requests are refused at once, those that wait at the gate with the next look at the view.
	inForce := hops*callMs + reconfigureMs + dialMs
	watched := clock.FromDuration(watchBatchDelay) + callMs + inForce
	brokenWatch := clock.FromDuration(watchRetryMaxDelay) + callMs + watched
	readOnly := confirmationSchedule.ReadEveryMs + tickMs + callMs + inForce
	assert.Assert(t, watched <= boundMs, "watched evacuation after %d ms", watched)
	assert.Assert(t, brokenWatch <= boundMs, "evacuation after %d ms, with a watch that failed", brokenWatch)
	assert.Assert(t, readOnly <= boundMs, "evacuation after %d ms, with a watch that delivers nothing", readOnly)
	for _, nodes := range []int{12, 67, 195, 2500} {
		t.Run(fmt.Sprint(nodes), func(t *testing.T) {
			turnedAway := (nodes*turnedAwayPercent + 99) / 100
			takenOver := confirmationSchedule.ReadAge(turnedAway) + tickMs + callMs + inForce
			t.Logf("%d ms; %d watched, %d after a failed watch, %d by reads", takenOver, watched, brokenWatch, readOnly)
			assert.Assert(t, takenOver <= boundMs, "evacuation after %d ms", takenOver)
			// A node that missed the push asks its domain's leader, which missed it, too.
			asked := takenOver + hops*(confirmationSchedule.LateAskEveryMs+readPropagation+tickMs+callMs)
			assert.Assert(t, asked <= boundMs+unservedMs, "evacuation after %d ms, without a push", asked)
		})
	}
}

// readPropagation is the time that a confirmation takes from the platform through the first rank, as in core/freshness.
const readPropagation clock.Millis = 100
