package quota

import "coltsfootusher.example/core/clock"

// reserveFraction is the part of the burst that lookups leave to operations, which are refused last.
const reserveFraction = 0.2

// Draw asks for tokens.
type Draw struct {
	// Need is the number of requests that wait; Spare is what is worth having in advance.
	Need, Spare int
	// Urgent is true for operations, which may also use the reserve.
	Urgent bool
}

// activeWindowMs is the time since its last use for which a bucket counts as the one that grants.
const activeWindowMs clock.Millis = 1000

// OwnedBucket is a bucket that one of several nodes owns, as far as they can reach each other.
//
// Each of these nodes has such a bucket, and all but one are idle. An idle bucket must not fill up, because the account
// would get its burst again each time the ownership moves: what it holds counts from the last move.
type OwnedBucket struct {
	bucket   *Bucket
	rate     Rate
	lastUsed clock.Millis
}

// NewOwnedBucket returns a bucket that has been owned since the time.
func NewOwnedBucket(rate Rate, since, now clock.Millis) *OwnedBucket {
	o := &OwnedBucket{bucket: NewBucket(rate, rate.accrued(since, now), now), rate: rate, lastUsed: now}
	return o
}

// Take serves a draw. movedAt is the last time at which the ownership may have moved. It returns the tokens and the time
// until the next one is there.
func (o *OwnedBucket) Take(d Draw, rate Rate, movedAt, now clock.Millis) (granted int, waitMs clock.Millis) {
	if o.rate != rate {
		o.rate = rate
		o.bucket.SetRate(rate, now)
	}
	if movedAt > o.lastUsed+activeWindowMs {
		o.bucket.Cap(rate.accrued(movedAt, now), now)
	}
	o.lastUsed = now
	if d.Urgent {
		granted = o.bucket.Take(d.Need, now)
	} else {
		granted = o.bucket.TakeAboveReserve(d.Need, rate.reserve(), now)
	}
	if granted == d.Need && d.Spare > 0 {
		granted += o.bucket.TakeSpare(d.Spare, now)
	}
	return granted, o.bucket.WaitMs(now)
}

// reserve returns the tokens that lookups leave. A full bucket has a token for a lookup, however small the burst is.
func (r Rate) reserve() float64 {
	return max(0, min(r.Burst*reserveFraction, r.Burst-1))
}

// accrued returns the tokens that the rate yields between two times.
func (r Rate) accrued(since, now clock.Millis) float64 {
	return r.PerSecond * float64(max(0, now-since)) / millisPerSecond
}
