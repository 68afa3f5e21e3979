package bench

import "coltsfootusher.example/core/account"

// share is what an account may get of a capacity.
type share struct {
	weight, demand float64
}

// fairShares divides the capacity by weight; what an account does not need goes to the others (max-min fairness).
func fairShares(capacity float64, shares map[string]share) map[string]float64 {
	parts := make(map[string]float64, len(shares))
	open := make(map[string]share, len(shares))
	for id, s := range shares {
		open[id] = s
	}
	for len(open) > 0 {
		var weights float64
		for _, s := range open {
			weights += s.weight
		}
		satisfied := false
		for id, s := range open {
			if s.demand <= capacity*s.weight/weights {
				parts[id] = s.demand
				satisfied = true
			}
		}
		if !satisfied {
			for id, s := range open {
				parts[id] = capacity * s.weight / weights
			}
			return parts
		}
		for id := range parts {
			if s, ok := open[id]; ok {
				capacity -= s.demand
				delete(open, id)
			}
		}
	}
	return parts
}

func weightOf(a account.Account) float64 {
	if a.Weight > 0 {
		return a.Weight
	}
	return 1
}

// bucket is the token bucket of an account, of which a request takes one token.
type bucket struct {
	rate, burst, tokens float64
	updated             float64
}

func newBucket(a account.Account) *bucket {
	return &bucket{rate: a.RatePerSecond, burst: a.Burst, tokens: a.Burst}
}

// take reports whether a request at the time, in seconds, is inside the rate and the burst.
func (b *bucket) take(at float64) bool {
	b.tokens = min(b.burst, b.tokens+max(0, at-b.updated)*b.rate)
	b.updated = max(b.updated, at)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
