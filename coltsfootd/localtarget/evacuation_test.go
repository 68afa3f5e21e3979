package localtarget

import (
	"context"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/core/warmup"
)

// stoppedClock always shows the same time.
type stoppedClock struct{}

func (stoppedClock) Now() clock.Millis { return 5000 }

// noView is a node without published values.
type noView struct{}

func (noView) View() *directory.View { return nil }

// Guards against a target that gets its full load in one step after an evacuation, with and without a published allowance for
// cold targets.
func TestReturnedTargetStartsSlowly(t *testing.T) {
	for name, c := range map[string]struct {
		coldPerSecond float64
		admitted      int
		reason        warmup.Reason
	}{
		"without an allowance": {coldPerSecond: 0, admitted: 2},
		"with an allowance":    {coldPerSecond: 10, admitted: 0, reason: warmup.ReasonReturned},
	} {
		t.Run(name, func(t *testing.T) {
			g := gateway.NewGate(1, 0)
			g.Configure(gate.Config{Slots: 20, QueueLimit: 20, ColdStartMs: 1000, Enabled: true}, 0)
			health := NewHealthProber("riders", nil, nil)
			health.Attach(noView{}, func() {})
			r := New(Config{
				Clock: stoppedClock{}, Views: noView{}, Admission: gateway.NewAdmission(g, stoppedClock{}), Health: health,
				Pool: upstream.New("127.0.0.1:1", upstream.Settings{}), Logger: log.NewNopLogger(),
			})
			r.ApplyView(service.Service{Name: "riders", ColdPerSecond: c.coldPerSecond, WarmupMs: 3000}, vm.VM{})
			r.TargetReturned()
			assert.Equal(t, r.Warmup().Reason, c.reason)
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // Requests that would have to wait are refused.
			admitted := 0
			for range 20 {
				if r.Admission.Admit(ctx, gate.Request{Class: route.Lookup, Arrival: 5000, Deadline: 9000}).Admitted {
					admitted++
				}
			}
			assert.Equal(t, admitted, c.admitted)
		})
	}
}
