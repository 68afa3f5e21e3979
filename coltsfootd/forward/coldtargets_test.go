package forward

import (
	"strconv"
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
	assert.Assert(t, c.isCold(lifetime(v), 400) && !c.isCold(lifetime(v), 500))
	c.replied(v, dispatch.Reply{Reason: call.ReasonNodeUnreachable, Run: call.MaybeRun}, interval, 10)
	assert.Assert(t, c.isCold(lifetime(v), 400))
	c.sent(v, interval, 100)
	assert.Assert(t, !c.due(lifetime(v), 400) && c.due(lifetime(v), 600))
	c.replied(v, answer, interval, 200)
	assert.Assert(t, c.due(lifetime(v), 400), "warm")
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
		if s.sparesCold(vms, nil, 0) {
			t.Error("a target is cold")
		}
		c.sent(v, 1000, 0)
		c.replied(v, reply, 1000, 0)
	}), 0.0)
}

// BenchmarkChoiceWithColdTargets measures what the share of cold targets costs a choice among 60 targets, half of them cold.
func BenchmarkChoiceWithColdTargets(b *testing.B) {
	const targets, interval = 60, 1000
	s := &Sender{cold: newColdTargets(log.NewNopLogger(), 1)}
	vms := make([]vm.VM, targets)
	for i := range vms {
		vms[i] = vm.VM{Name: strconv.Itoa(i), State: vm.Live}
		if i < targets/2 {
			s.cold.replied(vms[i], dispatch.Reply{Load: call.Load{Limit: 8}, ColdMs: 1000}, interval, 0)
		}
	}
	usable := func(string) bool { return true }
	b.ReportAllocs()
	for b.Loop() {
		if !s.sparesCold(vms, usable, 1) {
			b.Fatal("no target is warm")
		}
		for _, v := range vms {
			s.cold.due(lifetime(v), 1)
		}
	}
}
