package localtarget

import (
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/targetstatus"
	"coltsfootusher.example/core/vm"
)

// arrivalRefusal returns the reason for which a request that arrives must not be sent to the target, or "". A target that is not
// listed may be so new that its entry has only reached the sender.
func (r *Runner) arrivalRefusal(target string) call.Reason {
	own, _ := r.listed(target)
	l := targetstatus.Lifetime{Target: target, StartedMs: own.StartedMs}
	switch {
	case own.State == vm.Leaving || r.status.status(l).Leaving:
		return call.ReasonLeaving
	case r.evacuated(own):
		return call.ReasonDomainEvacuated
	case r.absentTargets.contains(target, r.Clock.Now()):
		return call.ReasonNoTarget
	default:
		return ""
	}
}

// waitingRefusal returns the reason for which a request that has waited must not be sent to the target, or "". What has changed
// meanwhile counts, because a request can wait for longer than a target that leaves still serves. The entry of a new target has
// arrived by now, so one that is not listed is gone.
func (r *Runner) waitingRefusal(target string) call.Reason {
	if _, ok := r.listed(target); !ok {
		return call.ReasonNoTarget
	}
	return r.arrivalRefusal(target)
}

// RefuseWaiting refuses the requests that wait for a target which has left or is leaving.
func (r *Runner) RefuseWaiting() {
	reasons := make(map[string]call.Reason)
	for _, target := range r.Admission.WaitingTargets() {
		if reason := r.waitingRefusal(target); reason != "" {
			reasons[target] = reason
		}
	}
	if len(reasons) == 0 {
		return
	}
	r.Admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision { return g.RefuseWaiting(reasons, now) })
}
