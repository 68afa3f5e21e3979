package quota

import (
	"math"

	"coltsfootusher.example/core/clock"
)

const millisPerSecond = 1000

// Rate is a sustained number of requests per second and the burst above it. PerSecond 0 means that there is no limit.
type Rate struct {
	PerSecond float64
	Burst     float64
}

// Scale returns the rate and burst multiplied by factor, which lies between 0 and 1.
func (r Rate) Scale(factor float64) Rate {
	return Rate{PerSecond: r.PerSecond * factor, Burst: r.Burst * factor}
}

// Bucket is a token bucket.
type Bucket struct {
	rate      Rate
	tokens    float64
	updatedAt clock.Millis
}

// NewBucket returns a bucket that holds the tokens, up to the burst, at the time now.
func NewBucket(rate Rate, tokens float64, now clock.Millis) *Bucket {
	return &Bucket{rate: rate, tokens: min(tokens, rate.Burst), updatedAt: now}
}

// SetRate changes the rate and the burst; tokens above the new burst are lost.
func (b *Bucket) SetRate(rate Rate, now clock.Millis) {
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, rate.Burst)
}

// Cap lowers the number of tokens to at most the given one.
func (b *Bucket) Cap(tokens float64, now clock.Millis) {
	b.refill(now)
	b.tokens = min(b.tokens, tokens)
}

// Tokens returns the number of tokens, which is negative after more were deducted than there were.
func (b *Bucket) Tokens(now clock.Millis) float64 {
	b.refill(now)
	return b.tokens
}

// Deduct removes one token, even if there is none.
func (b *Bucket) Deduct(now clock.Millis) {
	b.refill(now)
	b.tokens--
}

// Refund adds one token, up to the burst.
func (b *Bucket) Refund(now clock.Millis) {
	b.refill(now)
	b.tokens = min(b.rate.Burst, b.tokens+1)
}

// Take removes up to want whole tokens and returns their number. A bucket whose burst is below one token grants one when
// it is full, because a small share of a small burst would otherwise never grant anything.
func (b *Bucket) Take(want int, now clock.Millis) int {
	b.refill(now)
	available := int(b.tokens)
	if available == 0 && b.rate.Burst < 1 && b.rate.Burst > 0 && b.tokens >= b.rate.Burst {
		// The balance becomes negative, so the bucket has to fill up again before it grants the next token.
		b.tokens--
		return min(1, want)
	}
	taken := max(0, min(want, available))
	b.tokens -= float64(taken)
	return taken
}

// TakeAboveReserve removes up to want whole tokens but leaves the reserve in the bucket.
func (b *Bucket) TakeAboveReserve(want int, reserve float64, now clock.Millis) int {
	b.refill(now)
	if b.tokens-reserve < 1 && b.rate.Burst >= 1 {
		return 0
	}
	return b.Take(min(want, max(1, int(b.tokens-reserve))), now)
}

// TakeSpare removes up to want tokens but leaves at least half of the burst in the bucket.
func (b *Bucket) TakeSpare(want int, now clock.Millis) int {
	b.refill(now)
	spare := int(b.tokens - b.rate.Burst/2)
	return b.Take(max(0, min(want, spare)), now)
}

// WaitMs returns the time until the bucket holds a whole token, or until it is full if its burst is smaller.
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
	elapsed := now - b.updatedAt
	if elapsed <= 0 {
		return
	}
	b.updatedAt = now
	b.tokens = min(b.rate.Burst, b.tokens+b.rate.PerSecond*float64(elapsed)/millisPerSecond)
}
