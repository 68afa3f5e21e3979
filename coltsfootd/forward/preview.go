package forward

import (
	"math/rand/v2"
	"net/http"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/preview"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/dialect"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/core/workcost"
)

// previewChoices is the number of choices of which a preview tells the shares. Each takes a few microseconds, for which the
// balancer is locked.
const previewChoices = 100

// PreviewRequest is a request of which an operator asks where it would go.
type PreviewRequest struct {
	Method, Host, Path, Key string
	BodyBytes               int
}

// Preview tells where the request would be sent now, with the code that decides it. It sends nothing and changes no state.
func (h *Handler) Preview(p PreviewRequest) preview.Answer {
	in := &inboundRequest{
		request:    &http.Request{Method: p.Method, Host: p.Host, RequestURI: p.Path},
		caller:     dialect.CallerRequest{Key: p.Key, HasKey: p.Key != ""},
		receivedAt: h.Clock.Now(),
	}
	o := h.check(in)
	a := preview.Answer{
		Reason: o.Reply.Reason, RetryAfterMs: o.retryAfter, Route: in.route.Host + in.route.Prefix, Class: in.route.Class,
		Account: in.account.ID, Priority: in.priority, Inner: in.inner, TimeoutMs: in.timeout,
		PolicyAgeMs: ageOrUnknown(h.Values.Age()),
	}
	if a.Reason != "" {
		return a
	}
	services := in.route.Split
	if len(services) == 0 {
		services = []route.WeightedService{{Service: in.route.Service, Weight: 1}}
	}
	for _, s := range services {
		key := workcost.Key{Service: s.Service, Route: a.Route, Size: workcost.SizeClass(p.BodyBytes)}
		service := h.Sender.preview(in.view, key)
		service.Weight = s.Weight
		a.Services = append(a.Services, service)
	}
	return a
}

// preview tells which targets of a service would get a request, as in chooseTarget.
func (s *Sender) preview(view *directory.View, k workcost.Key) preview.Service {
	cost := s.Placement.expect(k, s.Clock.Now())
	result := preview.Service{
		Service: k.Service, ByCost: cost.MeanMs > 0, CostMs: cost.MeanMs, HighMs: cost.HighMs, CostAgeMs: cost.AgeMs,
	}
	shares := s.previewShares(view, k.Service, cost.MeanMs, s.Peers.Usable)
	if len(shares) == 0 {
		shares = s.previewShares(view, k.Service, cost.MeanMs, s.Peers.Reachable)
	}
	if len(shares) == 0 {
		result.Reason = call.ReasonNoTarget
	}
	facts := s.previewFacts(view, k.Service, cost.MeanMs)
	for _, v := range view.VMsOfService(k.Service) {
		c, ok := facts[v.Name]
		switch {
		case ok:
		case v.State != vm.Live:
			c.Excluded = "listed as " + string(v.State)
		default:
			c.Excluded = "its node can't be reached or is leaving"
		}
		c.Target, c.FailureDomain, c.Share = v.Name, v.FailureDomain, shares[v.Name]
		result.Candidates = append(result.Candidates, c)
	}
	return result
}

// previewShares returns the shares of the targets in a number of choices.
func (s *Sender) previewShares(
	view *directory.View, service string, costMs float64, usable func(address string) bool,
) map[string]float64 {
	candidates := s.appendCandidates(nil, view, service, nil, usable)
	random := rand.New(rand.NewPCG(rand.Uint64(), 0))
	shares := make(map[string]float64)
	for range previewChoices {
		if i, ok := s.Balancer.Preview(costMs, candidates, random, s.Clock.Now()); ok {
			shares[candidates[i].Node] += 1.0 / previewChoices
		}
	}
	return shares
}

// previewFacts returns what a choice knows about the usable targets of a service.
func (s *Sender) previewFacts(view *directory.View, service string, costMs float64) map[string]preview.Candidate {
	candidates := s.appendCandidates(nil, view, service, nil, s.Peers.Usable)
	facts := make(map[string]preview.Candidate, len(candidates))
	for i, c := range candidates {
		f := s.Balancer.Facts(costMs, candidates, i, s.Clock.Now())
		facts[c.Node] = preview.Candidate{
			Excluded: f.Excluded, InFlight: f.InFlight, Load: f.Load, LoadAgeMs: f.LoadAgeMs,
			WaitMs: f.WaitMs, RunMs: f.Work.RunMs, DelayMs: c.NetworkDelayMs,
			OutstandingMs: f.Work.OutstandingMs, SlownessPercent: f.Work.SlownessPercent,
		}
	}
	return facts
}
