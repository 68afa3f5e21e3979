package localtarget

import (
	"cmp"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/core/warmup"
)

// evacuated reports whether the failure domain of the target is evacuated. A target that is not listed yet is in the domain of
// the node.
func (r *Runner) evacuated(own vm.VM) bool {
	v := r.Views.View()
	return v != nil && v.IsEvacuated(cmp.Or(own.FailureDomain, r.FailureDomain))
}

// TargetReturned makes the load of the target grow slowly after the evacuation of its failure domain. The target may be cold by
// now; a service that publishes no allowance for cold targets gets the gate's slow start.
func (r *Runner) TargetReturned() {
	if r.warmup.on.Load() {
		r.changeWarmup((*warmup.Tracker).Returned)
		return
	}
	r.Admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		g.TargetStarted(now)
		return nil
	})
}
