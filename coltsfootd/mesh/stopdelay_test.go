package mesh

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a node with a short grace period that accepts requests until it is killed.
func TestRequestsAreAcceptedForAPartOfTheGracePeriod(t *testing.T) {
	for _, grace := range []time.Duration{0, time.Second, 2 * time.Second, 6 * time.Second, time.Minute} {
		delay := stopDelay(grace)
		assert.Assert(t, delay <= grace/2, "%v of %v", delay, grace)
		assert.Assert(t, delay <= maxStopDelay)
	}
	assert.Equal(t, stopDelay(6*time.Second), maxStopDelay)
}
