package quota

import "coltsfootusher.example/core/clock"

const (
	// leaseMs is the time for which drawn tokens remain valid on the node that drew them.
	leaseMs clock.Millis = 1000
	// prefetchMs is the period of demand for which a draw fetches tokens beyond those for the waiting requests.
	prefetchMs = 200
	// demandHalfLifeMs is the half-life with which the measured demand decays.
	demandHalfLifeMs = 500
)

// TokenCache holds the tokens of one account that a node has drawn and not used yet.
type TokenCache struct {
	tokens    int
	expiresAt clock.Millis
	demand    RateMeter
}

// RecordAndTake counts a request as demand, takes one token for it, and reports whether there was one.
func (c *TokenCache) RecordAndTake(now clock.Millis) bool {
	c.demand.Add(now)
	return c.Take(now)
}

// Take takes one token without counting demand, and reports whether there was one.
func (c *TokenCache) Take(now clock.Millis) bool {
	if c.tokens == 0 || now >= c.expiresAt {
		c.tokens = 0
		return false
	}
	c.tokens--
	return true
}

// Prefetch returns the number of tokens to draw in advance for the measured demand.
func (c *TokenCache) Prefetch(now clock.Millis) int {
	return int(c.demand.PerSecond(now) * prefetchMs / millisPerSecond)
}

// Add stores drawn tokens. It restarts the lease of all tokens that are still valid.
func (c *TokenCache) Add(tokens int, now clock.Millis) {
	if now >= c.expiresAt {
		c.tokens = 0
	}
	c.tokens += tokens
	c.expiresAt = now + leaseMs
}

// Return puts back the token of a request that was not run.
func (c *TokenCache) Return(now clock.Millis) {
	c.Add(1, now)
}

// Idle reports whether the account has no valid tokens and practically no recent demand.
func (c *TokenCache) Idle(now clock.Millis) bool {
	return now >= c.expiresAt && c.demand.PerSecond(now) < 1e-3
}
