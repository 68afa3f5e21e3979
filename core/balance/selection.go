package balance

import "coltsfootusher.example/core/clock"

// selection is one choice among candidates. It refers to candidates by index, so that a choice allocates nothing.
type selection struct {
	balancer   *Balancer
	candidates []Candidate
	exclude    map[string]bool
	maxEjected int
	now        clock.Millis
}

// choose returns the better of two random candidates of the own failure domain, unless the better of two from other
// domains has the shorter wait including its distance.
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

func (s *selection) bestOfTwo(local bool) (int, bool) {
	count := 0
	for i := range s.candidates {
		if s.usable(i, local) {
			count++
		}
	}
	if count == 0 {
		return 0, false
	}
	first := s.balancer.random.IntN(count)
	if count == 1 {
		return s.usableAt(first, local), true
	}
	second := s.balancer.random.IntN(count - 1)
	if second >= first {
		second++
	}
	a, b := s.usableAt(first, local), s.usableAt(second, local)
	if s.better(b, a) {
		return b, true
	}
	return a, true
}

// usableAt returns the index of the usable candidate number n.
func (s *selection) usableAt(n int, local bool) int {
	for i := range s.candidates {
		if !s.usable(i, local) {
			continue
		}
		if n == 0 {
			return i
		}
		n--
	}
	return -1
}

func (s *selection) usable(i int, local bool) bool {
	c := s.candidates[i]
	if s.exclude[c.Node] || (c.FailureDomain == s.balancer.config.FailureDomain) != local {
		return false
	}
	n := s.balancer.nodes[c.Node]
	if n == nil {
		return true
	}
	leaving := n.load.Leaving && s.now < n.loadAt+s.balancer.config.LeavingMs
	return !leaving && !s.ejected(i, n)
}

// ejected reports whether the candidate is among the maxEjected ones whose ejection lasts longest.
func (s *selection) ejected(i int, n *node) bool {
	if s.now >= n.ejectedUntil {
		return false
	}
	longer := 0
	for j := range s.candidates {
		other := s.balancer.nodes[s.candidates[j].Node]
		if j == i || other == nil {
			continue
		}
		if other.ejectedUntil > n.ejectedUntil || other.ejectedUntil == n.ejectedUntil && j < i {
			longer++
		}
	}
	return longer < s.maxEjected
}

// better compares by wait and distance, and by the use of the slots when these are equal.
func (s *selection) better(a, b int) bool {
	waitA, useA := s.balancer.estimate(s.candidates[a], s.now)
	waitB, useB := s.balancer.estimate(s.candidates[b], s.now)
	costA, costB := waitA+s.candidates[a].DistanceMs, waitB+s.candidates[b].DistanceMs
	if costA != costB {
		return costA < costB
	}
	return useA < useB
}

func (s *selection) costMs(i int) float64 {
	waitMs, _ := s.balancer.estimate(s.candidates[i], s.now)
	return waitMs + s.candidates[i].DistanceMs
}
