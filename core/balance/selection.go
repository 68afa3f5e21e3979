package balance

import "coltsfootusher.example/core/clock"

// selection is the choice of one node among candidates. It refers to candidates by index to avoid allocations.
type selection struct {
	balancer   *Balancer
	candidates []Candidate
	exclude    map[string]bool
	maxEjected int
	now        clock.Millis
}

// choose returns the better of two random candidates of the local failure domain, unless the better of two from other
// domains has a shorter wait including the network delay.
func (s *selection) choose() (int, bool) {
	local, localOK := s.bestOfTwo(true)
	remote, remoteOK := s.bestOfTwo(false)
	switch {
	case !localOK:
		return remote, remoteOK
	case !remoteOK || s.costMs(local) <= s.costMs(remote):
		return local, true
	default:
		return remote, true
	}
}

// bestOfTwo returns the better of two random usable candidates, from the local failure domain or from the others.
func (s *selection) bestOfTwo(local bool) (int, bool) {
	count := 0
	for i := range s.candidates {
		if s.isUsable(i, local) {
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	first := s.balancer.random.IntN(count)
	if count == 1 {
		return s.nthUsable(first, local), true
	}
	second := s.balancer.random.IntN(count - 1)
	if second >= first {
		second++
	}
	a, b := s.nthUsable(first, local), s.nthUsable(second, local)
	if s.isBetter(b, a) {
		return b, true
	}
	return a, true
}

// nthUsable returns the index of the nth usable candidate, counted from 0.
func (s *selection) nthUsable(n int, local bool) int {
	for i := range s.candidates {
		if !s.isUsable(i, local) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

// isUsable reports whether the candidate is on the given side and is not excluded, leaving or ejected.
func (s *selection) isUsable(i int, local bool) bool {
	c := s.candidates[i]
	if s.exclude[c.Node] || (c.FailureDomain == s.balancer.config.FailureDomain) != local {
		return false
	}
	n := s.balancer.nodes[c.Node]
	if n == nil {
		return true
	}
	leaving := n.load.Leaving && s.now < n.loadAt+s.balancer.config.AvoidLeavingMs
	return !leaving && !s.isEjected(i, n)
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

// isBetter compares candidates by cost, which is the wait plus the network delay, and by utilization if the costs are equal.
func (s *selection) isBetter(a, b int) bool {
	waitA, utilizationA := s.balancer.estimateWait(s.candidates[a], s.now)
	waitB, utilizationB := s.balancer.estimateWait(s.candidates[b], s.now)
	costA, costB := waitA+s.candidates[a].NetworkDelayMs, waitB+s.candidates[b].NetworkDelayMs
	if costA != costB {
		return costA < costB
	}
	return utilizationA < utilizationB
}

// costMs returns the expected wait at the candidate plus the network delay.
func (s *selection) costMs(i int) float64 {
	waitMs, _ := s.balancer.estimateWait(s.candidates[i], s.now)
	return waitMs + s.candidates[i].NetworkDelayMs
}
