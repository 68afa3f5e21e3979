package split

import (
	"math/rand/v2"
	"slices"
	"sync"

	"coltsfootusher.example/core/route"
)

// maxSkippedTurns bounds the random number of turns that a new round skips, enough for shares of a few percent.
const maxSkippedTurns = 100

// Splitter chooses the service of each request of a route by smooth weighted round robin, so that the shares are kept
// over few requests too. It is safe for concurrent use.
type Splitter struct {
	mu        sync.Mutex
	random    *rand.Rand
	rotations map[string]*rotation
}

type rotation struct {
	shares         []route.WeightedService
	currentWeights []float64
}

// New returns a splitter; random sets where the rounds begin, so that many nodes don't begin alike.
func New(random *rand.Rand) *Splitter {
	return &Splitter{random: random, rotations: make(map[string]*rotation)}
}

// Choose returns the service for the next request of the route.
func (s *Splitter) Choose(r route.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.Host + r.Prefix
	t := s.rotations[name]
	if t == nil || !slices.Equal(t.shares, r.Split) {
		t = s.newRotation(r.Split)
		s.rotations[name] = t
	}
	return t.next()
}

func (s *Splitter) newRotation(shares []route.WeightedService) *rotation {
	t := &rotation{shares: shares, currentWeights: make([]float64, len(shares))}
	for range s.random.IntN(maxSkippedTurns) {
		t.next()
	}
	return t
}

func (t *rotation) totalWeight() float64 {
	total := 0.0
	for _, share := range t.shares {
		total += max(0, share.Weight)
	}
	return total
}

func (t *rotation) next() string {
	best := -1
	for i, share := range t.shares {
		if share.Weight <= 0 {
			continue
		}
		t.currentWeights[i] += share.Weight
		if best < 0 || t.currentWeights[i] > t.currentWeights[best] {
			best = i
		}
	}
	if best < 0 {
		return t.shares[0].Service
	}
	t.currentWeights[best] -= t.totalWeight()
	return t.shares[best].Service
}
