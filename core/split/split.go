package split

import (
	"math/rand/v2"
	"slices"
	"sync"

	"coltsfootusher.example/core/route"
)

// maxSkippedTurns bounds the random number of turns that a new rotation skips. It is enough for shares of a few percent.
const maxSkippedTurns = 100

// Splitter chooses the service of each request of a route by smooth weighted round robin, which keeps the shares even
// over a small number of requests. It is safe for concurrent use.
type Splitter struct {
	mu        sync.Mutex
	random    *rand.Rand
	rotations map[string]*rotation
}

type rotation struct {
	shares         []route.WeightedService
	currentWeights []float64
}

// New returns a splitter. random determines where each rotation starts, so that many nodes don't start with the same
// service.
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
	key := r.Host + r.Prefix
	rot := s.rotations[key]
	if rot == nil || !slices.Equal(rot.shares, r.Split) {
		rot = s.newRotation(r.Split)
		s.rotations[key] = rot
	}
	return rot.next()
}

func (s *Splitter) newRotation(shares []route.WeightedService) *rotation {
	r := &rotation{shares: shares, currentWeights: make([]float64, len(shares))}
	for range s.random.IntN(maxSkippedTurns) {
		r.next()
	}
	return r
}

func (r *rotation) totalWeight() float64 {
	total := 0.0
	for _, share := range r.shares {
		total += max(0, share.Weight)
	}
	return total
}

func (r *rotation) next() string {
	best := -1
	for i, share := range r.shares {
		if share.Weight <= 0 {
			continue
		}
		r.currentWeights[i] += share.Weight
		if best < 0 || r.currentWeights[i] > r.currentWeights[best] {
			best = i
		}
	}
	if best < 0 {
		return r.shares[0].Service
	}
	r.currentWeights[best] -= r.totalWeight()
	return r.shares[best].Service
}
