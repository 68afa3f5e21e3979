package localtarget

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/route"
)

// stoppedClock always shows the same time.
type stoppedClock struct{}

func (stoppedClock) Now() clock.Millis { return 5000 }

// Guards against a target that gets its full load in one step after an evacuation, and against a hook that is not called instead.
func TestReturnedTargetStartsSlowly(t *testing.T) {
	newRunner := func(returned func()) *Runner {
		g := gateway.NewGate(1, 0)
		g.Configure(gate.Config{Slots: 20, QueueLimit: 20, ColdStartMs: 1000, Enabled: true}, 0)
		return &Runner{Config: Config{Admission: gateway.NewAdmission(g, stoppedClock{}), OnReturned: returned}}
	}
	admitted := func(r *Runner) int {
		count := 0
		ctx, cancel := context.WithCancel(context.Background())
		cancel() // Requests that would have to wait are refused.
		for range 20 {
			if r.Admission.Admit(ctx, gate.Request{Class: route.Lookup, Arrival: 5000, Deadline: 9000}).Admitted {
				count++
			}
		}
		return count
	}
	calls := 0
	r := newRunner(func() { calls++ })
	r.TargetReturned()
	assert.Equal(t, calls, 1)
	assert.Equal(t, admitted(r), 20)
	r = newRunner(nil)
	r.TargetReturned()
	assert.Equal(t, admitted(r), 2)
}
