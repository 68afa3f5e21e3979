package retry

import (
	"math/rand/v2"

	"coltsfootusher.example/core/clock"
)

// Backoff computes the pauses before retries, with full jitter.
type Backoff struct {
	// BaseMs bounds the pause before the first retry; each further retry doubles the bound.
	BaseMs clock.Millis
	// MaxMs bounds every pause.
	MaxMs clock.Millis
}

// Delay returns the pause in milliseconds before retry number n, where the first retry has number 0.
// The whole range from zero is used, because callers that failed together must not return together.
func (b Backoff) Delay(n int, random *rand.Rand) clock.Millis {
	bound := b.BaseMs
	for ; n > 0 && bound < b.MaxMs; n-- {
		bound *= 2
	}
	bound = min(bound, b.MaxMs)
	if bound <= 0 {
		return 0
	}
	return clock.Millis(random.Int64N(int64(bound) + 1))
}
