package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/config"
)

// Guards against a process that serves requests with outdated versions after a pause, and against one that never serves
// again.
func TestRequestsAreHeldAfterPauseUntilConfirmed(t *testing.T) {
	detector := config.NewPauseDetector(1000, 500, 0)
	assert.Assert(t, !detector.Tick(1000))
	assert.Assert(t, !detector.State().HoldsRequests(2000))
	assert.Assert(t, detector.State().HoldsRequests(2001), "after the pause, before the next tick")
	assert.Assert(t, detector.Tick(9000))
	assert.Assert(t, detector.State().HoldsRequests(9001))
	detector.ConfirmVersions(8999)
	assert.Assert(t, detector.State().HoldsRequests(9001), "the request was sent before the pause ended")
	detector.ConfirmVersions(9000)
	assert.Assert(t, !detector.State().HoldsRequests(9001))
	assert.Assert(t, detector.Tick(20000))
	assert.Assert(t, detector.State().HoldsRequests(20499))
	assert.Assert(t, !detector.State().HoldsRequests(20500), "the bounded wait is over")
	assert.Assert(t, !detector.Tick(20600))
	assert.Equal(t, detector.Count(), int64(2))
}
