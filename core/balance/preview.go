package balance

import (
	"math/rand/v2"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// CandidateFacts are what a choice knows about one candidate.
type CandidateFacts struct {
	Choice
	// Excluded is "leaving" or "ejected" if the candidate is not chosen while others are left.
	Excluded string
	InFlight int
	Load     call.Load
}

// Preview makes a choice like ChooseForCost without any effect on later choices: it draws from the given source, and nothing
// changes. It returns the index of the chosen candidate. With round robin there is no preview.
func (b *Balancer) Preview(costMs float64, candidates []Candidate, random *rand.Rand, now clock.Millis) (int, bool) {
	if b.config.RoundRobin {
		return 0, false
	}
	return b.selectNode(b.newSelection(costMs, candidates, nil, random, now))
}

// Facts returns what a choice knows about the candidate with the index.
func (b *Balancer) Facts(costMs float64, candidates []Candidate, i int, now clock.Millis) CandidateFacts {
	f := CandidateFacts{Choice: b.newChoice(candidates[i], now)}
	if costMs > 0 {
		f.Work = b.workFacts(candidates[i], costMs, now)
		f.WaitMs = f.Work.WaitMs
	}
	n := b.nodes[candidates[i].Node]
	if n == nil {
		return f
	}
	f.InFlight, f.Load = n.inFlight, n.load
	s := b.newSelection(costMs, candidates, nil, nil, now)
	switch {
	case s.isLeaving(n):
		f.Excluded = "leaving"
	case s.isEjected(i, n):
		f.Excluded = "ejected"
	}
	return f
}
