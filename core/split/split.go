package split

import (
	"math/rand/v2"
	"slices"
	"sync"

	"coltsfootusher.example/core/route"
)

// maxSkipped bounds the random number of turns that a new round skips, enough for shares of a few percent.
const maxSkipped = 100

// Splitter chooses the service of each request of a route by smooth weighted round robin, so that the shares are kept
// over few requests too. It is safe for concurrent use.
type Splitter struct {
	mu     sync.Mutex
	random *rand.Rand
	turns  map[string]*turn
}

type turn struct {
	shares []route.Share
	credit []float64
}

// New returns a splitter; random sets where the rounds begin, so that many nodes don't begin alike.
func New(random *rand.Rand) *Splitter {
	return &Splitter{random: random, turns: make(map[string]*turn)}
}

// Choose returns the service for the next request of the route.
func (s *Splitter) Choose(r route.Route) string {
	if len(r.Split) == 0 {
		return r.Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	name := r.Host + r.Prefix
	t := s.turns[name]
	if t == nil || !slices.Equal(t.shares, r.Split) {
		t = s.begin(r.Split)
		s.turns[name] = t
	}
	return t.next()
}

func (s *Splitter) begin(shares []route.Share) *turn {
	t := &turn{shares: shares, credit: make([]float64, len(shares))}
	for range s.random.IntN(maxSkipped) {
		t.next()
	}
	return t
}

func (t *turn) total() float64 {
	total := 0.0
	for _, share := range t.shares {
		total += max(0, share.Weight)
	}
	return total
}

func (t *turn) next() string {
	best := -1
	for i, share := range t.shares {
		if share.Weight <= 0 {
			continue
		}
		t.credit[i] += share.Weight
		if best < 0 || t.credit[i] > t.credit[best] {
			best = i
		}
	}
	if best < 0 {
		return t.shares[0].Service
	}
	t.credit[best] -= t.total()
	return t.shares[best].Service
}
