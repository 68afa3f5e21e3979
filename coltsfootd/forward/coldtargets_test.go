package forward

import (
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/vm"
)

// Guards against an origin that takes a reply for a statement of the target's node although that did not answer, and against a
// target that stays cold for the origin. Load: none.
func TestColdTargetIsLearnedFromReplies(t *testing.T) {
	const interval clock.Millis = 1000
	v := vm.VM{Name: "t1", StartedMs: 1000}
	answer := dispatch.Reply{Run: call.WasRun, Load: call.Load{Limit: 8}}
	cold := answer
	cold.ColdMs = 500
	c := newColdTargets(log.NewNopLogger(), 1)
	c.replied(v, answer, interval, 0)
	assert.Equal(t, c.known.Load(), int64(0))
	c.replied(v, cold, interval, 0)
	assert.Assert(t, c.isCold(v, 400) && !c.isCold(v, 500))
	c.replied(v, dispatch.Reply{Reason: call.ReasonNodeUnreachable, Run: call.MaybeRun}, interval, 10)
	assert.Assert(t, c.isCold(v, 400))
	c.sent(v, interval, 100)
	assert.Assert(t, !c.due(v, 400) && c.due(v, 600))
	c.replied(v, answer, interval, 200)
	assert.Assert(t, c.due(v, 400), "warm")
	c.dropWarm(60_000)
	assert.Equal(t, c.known.Load(), int64(0))
}

// Guards against work or memory on the path of a request while no target is cold.
func TestWithoutColdTargetsNothingIsAllocated(t *testing.T) {
	c := newColdTargets(log.NewNopLogger(), 1)
	v, reply := vm.VM{Name: "t1"}, dispatch.Reply{Run: call.WasRun, Load: call.Load{Limit: 8}}
	s := &Sender{cold: c}
	vms := []vm.VM{v}
	assert.Equal(t, testing.AllocsPerRun(100, func() {
		if s.sparesCold(vms, nil) {
			t.Error("a target is cold")
		}
		c.sent(v, 1000, 0)
		c.replied(v, reply, 1000, 0)
	}), 0.0)
}
