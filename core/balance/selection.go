package balance

import (
	"math/rand/v2"

	"coltsfootusher.example/core/clock"
)

// selection is the choice of one node among candidates. It refers to candidates by index to avoid allocations.
type selection struct {
	balancer   *Balancer
	candidates []Candidate
	exclude    map[string]bool
	random     *rand.Rand
	maxEjected int
	now        clock.Millis
	// costMs is the expected slot time of the request at the usual speed; 0 if it is not known.
	costMs float64
}

// choose returns the better of two random candidates of the local failure domain, unless the better of two from other
// domains has a shorter wait including the network delay. A faster machine alone is no reason to leave the domain, because
// traffic between domains is expensive and shortens the call by less than callers notice.
func (s *selection) choose() (int, bool) {
	local, localOK := s.bestOfTwo(true)
	remote, remoteOK := s.bestOfTwo(false)
	switch {
	case !localOK:
		return remote, remoteOK
	case !remoteOK || s.waitMs(local) <= s.waitMs(remote):
		return local, true
	default:
		return remote, true
	}
}

// bestOfTwo returns the better of two random usable candidates, from the local failure domain or from the others.
func (s *selection) bestOfTwo(local bool) (int, bool) {
	usable := s.balancer.usable[:0]
	for i := range s.candidates {
		if s.isUsable(i, local) {
			usable = append(usable, i)
		}
	}
	s.balancer.usable = usable
	count := len(usable)
	if count == 0 {
		return 0, false
	}
	first := s.random.IntN(count)
	if count == 1 {
		return usable[first], true
	}
	second := s.random.IntN(count - 1)
	if second >= first {
		second++
	}
	a, b := usable[first], usable[second]
	if s.isBetter(b, a) {
		return b, true
	}
	return a, true
}

// isUsable reports whether the candidate is on the given side and is not excluded, leaving or ejected.
func (s *selection) isUsable(i int, local bool) bool {
	c := &s.candidates[i]
	if (c.FailureDomain == s.balancer.config.FailureDomain) != local || s.exclude[c.Node] {
		return false
	}
	n := s.balancer.nodes[c.Node]
	if n == nil {
		return true
	}
	return !s.isLeaving(n) && !s.isEjected(i, n)
}

// isLeaving reports whether the node has said lately that it takes no new calls.
func (s *selection) isLeaving(n *node) bool {
	return n.load.Leaving && s.now < n.loadAt+s.balancer.config.AvoidLeavingMs
}

// isEjected reports whether the candidate is ejected. Only the maxEjected candidates with the longest ejections are.
func (s *selection) isEjected(i int, n *node) bool {
	if s.now >= n.ejectedUntil {
		return false
	}
	longerEjections := 0
	for j := range s.candidates {
		other := s.balancer.nodes[s.candidates[j].Node]
		if j == i || other == nil {
			continue
		}
		if other.ejectedUntil > n.ejectedUntil || other.ejectedUntil == n.ejectedUntil && j < i {
			longerEjections++
		}
	}
	return longerEjections < s.maxEjected
}

// isBetter compares candidates by the expected delay, and by utilization if the delays are equal.
func (s *selection) isBetter(a, b int) bool {
	delayA, utilizationA := s.estimate(a)
	delayB, utilizationB := s.estimate(b)
	if delayA != delayB {
		return delayA < delayB
	}
	return utilizationA < utilizationB
}

// waitMs returns the expected wait at the candidate plus the network delay.
func (s *selection) waitMs(i int) float64 {
	c := s.candidates[i]
	if s.costMs > 0 {
		return s.balancer.estimateCompletion(c, s.costMs, s.now).waitMs + c.NetworkDelayMs
	}
	waitMs, _ := s.balancer.estimateWait(c, s.now)
	return waitMs + c.NetworkDelayMs
}

// estimate returns the expected wait at the candidate plus the network delay, and plus the time that the target takes if the cost
// of the request is known, weighted by its free slots; and the utilization of the candidate's slots.
func (s *selection) estimate(i int) (delayMs, utilization float64) {
	c := s.candidates[i]
	if s.costMs > 0 {
		e := s.balancer.estimateCompletion(c, s.costMs, s.now)
		return waitWeight*e.waitMs + e.runMs/freeShare(e.utilization) + c.NetworkDelayMs, e.utilization
	}
	waitMs, utilization := s.balancer.estimateWait(c, s.now)
	return waitMs + c.NetworkDelayMs, utilization
}
