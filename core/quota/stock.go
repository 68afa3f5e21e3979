package quota

import "coltsfootusher.example/core/clock"

const (
	// leaseMs is the time for which unused tokens stay valid at the node that drew them.
	leaseMs clock.Millis = 1000
	// prefetchMs is the time of demand that a draw covers beyond the requests that wait.
	prefetchMs = 200
	// demandHalfLifeMs smooths the measured demand.
	demandHalfLifeMs = 500
)

// TokenCache holds the tokens of one account that a node has drawn and not used.
type TokenCache struct {
	tokens  int
	expires clock.Millis
	demand  RateMeter
}

// RecordAndTake uses one token and reports whether one was left. It also counts the request as demand.
func (s *TokenCache) RecordAndTake(now clock.Millis) bool {
	s.demand.Add(now)
	return s.Take(now)
}

// Take uses one token without counting demand.
func (s *TokenCache) Take(now clock.Millis) bool {
	if s.tokens == 0 || now >= s.expires {
		s.tokens = 0
		return false
	}
	s.tokens--
	return true
}

// Prefetch returns the number of tokens worth drawing ahead of demand.
func (s *TokenCache) Prefetch(now clock.Millis) int {
	return int(s.demand.PerSecond(now) * prefetchMs / millisPerSecond)
}

// Add stores drawn tokens.
func (s *TokenCache) Add(tokens int, now clock.Millis) {
	if now >= s.expires {
		s.tokens = 0
	}
	s.tokens += tokens
	s.expires = now + leaseMs
}

// Return gives back the token of a request that did not run.
func (s *TokenCache) Return(now clock.Millis) {
	s.Add(1, now)
}

// Idle reports whether the account has had no demand for long.
func (s *TokenCache) Idle(now clock.Millis) bool {
	return now >= s.expires && s.demand.PerSecond(now) < 1e-3
}
