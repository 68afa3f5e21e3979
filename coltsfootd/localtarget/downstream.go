package localtarget

import "coltsfootusher.example/core/bottleneck"

// reportedUtilization is the utilization from which on a downstream service is named in replies. Below it none is short.
const reportedUtilization = 0.5

// ObserveDownstream records the utilization of the services that a call of the local target used.
func (r *Runner) ObserveDownstream(report bottleneck.Report) {
	r.downstream.Observe(report, r.Clock.Now())
}

// bottleneck returns the most utilized service that the target's calls use, or nil if none is short of capacity.
func (r *Runner) bottleneck() *bottleneck.Report {
	worst := r.downstream.Worst(r.Clock.Now())
	if worst.Utilization < reportedUtilization {
		return nil
	}
	return &worst
}
