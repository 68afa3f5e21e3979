package forward

import (
	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/vm"
)

// evacuatedRetryAfterMs is the retry delay if the targets that could have been used are in evacuated failure domains. Evacuations
// last for seconds at least.
const evacuatedRetryAfterMs clock.Millis = 1000

// usableTargets returns the listed targets of the service outside the evacuated failure domains.
func usableTargets(view *directory.View, service string) []vm.VM {
	listed := view.VMsOfService(service)
	if len(view.Evacuated) == 0 {
		return listed
	}
	var usable []vm.VM
	for _, v := range listed {
		if !view.IsEvacuated(v.FailureDomain) {
			usable = append(usable, v)
		}
	}
	return usable
}

// excludeDomain excludes the targets of a failure domain that a gate has refused as evacuated before this node has heard of it.
func (s *Sender) excludeDomain(service, domain string, excluded map[string]bool) {
	for _, v := range s.Values.View().VMsOfService(service) {
		if v.FailureDomain == domain {
			excluded[v.Name] = true
		}
	}
}

// evacuatedResult returns the result of a request for which no target is left. If no target got it and evacuated failure domains
// have live ones, the evacuation is the reason.
func (s *Sender) evacuatedResult(r Result, service string) Result {
	if r.Attempts > 0 && r.Reply.Reason != call.ReasonDomainEvacuated {
		return r
	}
	view := s.Values.View()
	for _, v := range view.VMsOfService(service) {
		if v.State == vm.Live && view.IsEvacuated(v.FailureDomain) {
			r.Reply.Reason, r.Reply.RetryAfterMs = call.ReasonDomainEvacuated, evacuatedRetryAfterMs
			return r
		}
	}
	return r
}
