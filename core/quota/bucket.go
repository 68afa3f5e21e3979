package quota

import (
	"math"

	"coltsfootusher.example/core/clock"
)

const millisPerSecond = 1000

// Rate is a sustained number of requests per second with a burst above it; a rate of 0 means no limit.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Scale returns a part of the rate, between 0 and 1.
func (r Rate) Scale(part float64) Rate {
	return Rate{PerSecond: r.PerSecond * part, Burst: r.Burst * part}
}

// Bucket is a token bucket.
type Bucket struct {
	rate    Rate
	tokens  float64
	updated clock.Millis
}

// NewBucket returns a bucket that holds tokens at the time now.
func NewBucket(rate Rate, tokens float64, now clock.Millis) *Bucket {
	return &Bucket{rate: rate, tokens: min(tokens, rate.Burst), updated: now}
}

// SetRate changes the rate; tokens above the new burst are lost.
func (b *Bucket) SetRate(rate Rate, now clock.Millis) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, rate.Burst)
}

// Cap removes the tokens above a number.
func (b *Bucket) Cap(tokens float64, now clock.Millis) {
	b.refill(now)
	b.tokens = min(b.tokens, tokens)
}

// Take removes and returns up to want whole tokens. A bucket whose burst is below one token grants one when it is full,
// because small shares of a small burst would otherwise never grant anything.
func (b *Bucket) Take(want int, now clock.Millis) int {
	b.refill(now)
	whole := int(b.tokens)
	if whole == 0 && b.rate.Burst < 1 && b.rate.Burst > 0 && b.tokens >= b.rate.Burst {
		// The debt is paid back before the bucket grants again.
		b.tokens--
		return min(1, want)
	}
	taken := max(0, min(want, whole))
	b.tokens -= float64(taken)
	return taken
}

// TakeAboveReserve removes up to want whole tokens but leaves a reserve.
func (b *Bucket) TakeAboveReserve(want int, reserve float64, now clock.Millis) int {
	b.refill(now)
	if b.tokens-reserve < 1 && b.rate.Burst >= 1 {
		return 0
	}
	return b.Take(min(want, max(1, int(b.tokens-reserve))), now)
}

// TakeSpare removes up to want tokens but leaves at least half of the burst.
func (b *Bucket) TakeSpare(want int, now clock.Millis) int {
	b.refill(now)
	spare := int(b.tokens - b.rate.Burst/2)
	return b.Take(max(0, min(want, spare)), now)
}

// WaitMs returns the time until the bucket holds a whole token.
func (b *Bucket) WaitMs(now clock.Millis) clock.Millis {
	b.refill(now)
	missing := min(1, b.rate.Burst) - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.rate.PerSecond <= 0 {
		return clock.Never
	}
	return clock.Millis(math.Ceil(missing * millisPerSecond / b.rate.PerSecond))
}

func (b *Bucket) refill(now clock.Millis) {
	elapsed := now - b.updated
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.tokens = min(b.rate.Burst, b.tokens+b.rate.PerSecond*float64(elapsed)/millisPerSecond)
}
