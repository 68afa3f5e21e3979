package quota

import "coltsfootusher.example/core/clock"

// reserveFraction is the fraction of the burst that lookups leave for operations, so that operations are refused last.
const reserveFraction = 0.2

// Draw is a request for tokens.
type Draw struct {
	// Need is the number of waiting requests; Spare is the number of tokens to prefetch beyond that.
	Need, Spare int
	// Urgent is true for operations, which may also use the reserve.
	Urgent bool
}

// activeWindowMs is the time after its last use for which a bucket is considered to be in use. A bucket in use keeps its
// tokens when the ownership may have moved.
const activeWindowMs clock.Millis = 1000

// OwnedBucket is the bucket of an account at one of the nodes that may own it.
//
// Several nodes can have such a bucket for one account, but normally only the current owner uses it. Unused buckets must
// not fill up, because the account would get its burst again each time the ownership moves. Therefore such a bucket only
// holds what has accrued since the last move.
type OwnedBucket struct {
	bucket     *Bucket
	rate       Rate
	lastUsedAt clock.Millis
}

// NewOwnedBucket returns a bucket that this node has owned since the given time, with the tokens accrued since then.
func NewOwnedBucket(rate Rate, since, now clock.Millis) *OwnedBucket {
	o := &OwnedBucket{bucket: NewBucket(rate, rate.accrued(since, now), now), rate: rate, lastUsedAt: now}
	return o
}

// Take serves a draw. movedAt is the last time at which the ownership may have moved. It returns the number of tokens
// granted and the time until the next one is available.
func (o *OwnedBucket) Take(d Draw, rate Rate, movedAt, now clock.Millis) (granted int, waitMs clock.Millis) {
	if o.rate != rate {
		o.rate = rate
		o.bucket.SetRate(rate, now)
	}
	if movedAt > o.lastUsedAt+activeWindowMs {
		o.bucket.Cap(rate.accrued(movedAt, now), now)
	}
	o.lastUsedAt = now
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

// reserve returns the tokens that lookups leave for operations. A full bucket always has a token for a lookup, even if
// the burst is small.
func (r Rate) reserve() float64 {
	return max(0, min(r.Burst*reserveFraction, r.Burst-1))
}

// accrued returns the tokens that accrue between two times.
func (r Rate) accrued(since, now clock.Millis) float64 {
	return r.PerSecond * float64(max(0, now-since)) / millisPerSecond
}
