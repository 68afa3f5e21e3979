package retry

import (
	"math/rand/v2"

	"coltsfootusher.example/core/clock"
)

// Backoff computes the delays before retries by exponential backoff with full jitter.
type Backoff struct {
	// BaseMs is the maximum delay before the first retry; each further retry doubles the maximum.
	BaseMs clock.Millis
	// MaxMs limits every delay.
	MaxMs clock.Millis
}

// Delay returns a random delay before retry number n, where the first retry has number 0.
// The delay is drawn from the whole range from zero, so that callers that failed together do not retry together.
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
