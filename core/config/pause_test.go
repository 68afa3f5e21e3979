package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/config"
)

// Guards against a resumed process serving requests with outdated versions, and against it never serving again.
func TestRequestsAreHeldAfterPauseUntilConfirmed(t *testing.T) {
	p := config.NewPauseDetector(1000, 500, 0)
	assert.Assert(t, !p.Tick(1000))
	assert.Assert(t, !p.State().HoldsRequests(2000))
	assert.Assert(t, p.State().HoldsRequests(2001), "after the pause, before the tick")
	assert.Assert(t, p.Tick(9000))
	assert.Assert(t, p.State().HoldsRequests(9001))
	p.ConfirmVersions(8999)
	assert.Assert(t, p.State().HoldsRequests(9001), "the request was sent before the pause ended")
	p.ConfirmVersions(9000)
	assert.Assert(t, !p.State().HoldsRequests(9001))
	assert.Assert(t, p.Tick(20000))
	assert.Assert(t, p.State().HoldsRequests(20499))
	assert.Assert(t, !p.State().HoldsRequests(20500), "the bounded wait ended")
	assert.Assert(t, !p.Tick(20600))
	assert.Equal(t, p.Count(), int64(2))
}
