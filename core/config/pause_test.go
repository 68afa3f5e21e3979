package config_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/config"
)

// Guards against a resumed process serving requests with outdated versions, and against it never serving again.
func TestPauseHoldsUntilConfirmed(t *testing.T) {
	p := config.NewPause(1000, 500, 0)
	assert.Assert(t, !p.Tick(1000))
	assert.Assert(t, !p.View().Held(2000))
	assert.Assert(t, p.View().Held(2001), "after the pause, before the tick")
	assert.Assert(t, p.Tick(9000))
	assert.Assert(t, p.View().Held(9001))
	p.Confirm(8999)
	assert.Assert(t, p.View().Held(9001), "the request was sent before the pause ended")
	p.Confirm(9000)
	assert.Assert(t, !p.View().Held(9001))
	assert.Assert(t, p.Tick(20000))
	assert.Assert(t, p.View().Held(20499))
	assert.Assert(t, !p.View().Held(20500), "the bounded wait ended")
	assert.Assert(t, !p.Tick(20600))
	assert.Equal(t, p.Count(), int64(2))
}
