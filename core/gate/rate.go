package gate

import (
	"math"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/quota"
	"coltsfootusher.example/core/route"
)

const (
	// rateBurstSeconds is the time for which unused starts of a rate limit are kept; minRateBurst of them are always kept.
	rateBurstSeconds = 0.1
	minRateBurst     = 2
	// rateReserveShare is the fraction of the burst that lookups leave for operations, but at least one start.
	rateReserveShare = 0.2
	// minRatePerSecond is the rate at a limit of zero, so that an answer can show that the limit has ended.
	minRatePerSecond = 0.5
	// rateWaitMs bounds the wait for a start within the rate limit, and lookupRateWaitMs that of a lookup: other targets may have
	// room at once.
	rateWaitMs       clock.Millis = 250
	lookupRateWaitMs clock.Millis = 50
	// maxLookupCredit is the number of starts that lookups can save up from their share.
	maxLookupCredit = 2

	millisPerSecond = 1000
)

// rateLimit limits the calls that start per second.
type rateLimit struct {
	perSecond float64
	bucket    *quota.Bucket
	// lookupCredit is the number of starts that lookups may take ahead of inner non-idempotent calls.
	lookupCredit float64
	// granted is the number of starts that are allowed ahead of the rate.
	granted int
}

// newRateLimit returns a limit that allows no burst at first.
func newRateLimit(perSecond float64, now clock.Millis) *rateLimit {
	perSecond = max(minRatePerSecond, perSecond)
	return &rateLimit{perSecond: perSecond, bucket: quota.NewBucket(bucketRate(perSecond), 0, now)}
}

func bucketRate(perSecond float64) quota.Rate {
	return quota.Rate{PerSecond: perSecond, Burst: max(minRateBurst, perSecond*rateBurstSeconds)}
}

// reserve returns the number of starts that lookups leave for operations.
func (l *rateLimit) reserve() float64 {
	return max(1, rateReserveShare*bucketRate(l.perSecond).Burst)
}

func (l *rateLimit) set(perSecond float64, now clock.Millis) {
	l.granted = 0
	l.perSecond = max(minRatePerSecond, perSecond)
	l.bucket.SetRate(bucketRate(l.perSecond), now)
}

// allows reports whether a call of the class may start now. A nil limit allows every call.
func (l *rateLimit) allows(class route.Class, now clock.Millis) bool {
	switch {
	case l == nil || l.granted > 0:
		return true
	case class == route.Lookup && l.lookupCredit < 1:
		return l.bucket.Tokens(now) >= 1+l.reserve()
	default:
		return l.bucket.Tokens(now) >= 1
	}
}

// charge counts a call that starts, even if the limit does not allow it.
func (l *rateLimit) charge(now clock.Millis) {
	if l != nil {
		l.bucket.Deduct(now)
	}
}

// chargeStart counts a call that starts. For each inner non-idempotent call that starts, lookups get lookupShare of a start.
func (l *rateLimit) chargeStart(r Request, lookupShare float64, now clock.Millis) {
	if l == nil {
		return
	}
	if l.granted > 0 {
		l.granted--
		return
	}
	l.charge(now)
	switch {
	case r.isInnerNonIdempotent():
		l.lookupCredit = min(maxLookupCredit, l.lookupCredit+lookupShare)
	case r.Class == route.Lookup:
		l.lookupCredit = max(0, l.lookupCredit-1)
	}
}

// waitMs returns the time until the given number of calls, the last of them a lookup, can have started.
func (l *rateLimit) waitMs(calls int, now clock.Millis) clock.Millis {
	return l.waitForTokens(float64(calls)+l.reserve(), now)
}

func (l *rateLimit) waitForTokens(tokens float64, now clock.Millis) clock.Millis {
	missing := tokens - l.bucket.Tokens(now) - float64(l.granted)
	return clock.Millis(math.Ceil(max(0, missing) * millisPerSecond / l.perSecond))
}

// queueLimit returns the number of calls that can start within the bound on the wait.
func (l *rateLimit) queueLimit() float64 {
	return l.perSecond * float64(rateWaitMs) / millisPerSecond
}

// lookupQueueLimit returns the number of lookups that may wait.
func (l *rateLimit) lookupQueueLimit() int {
	return max(1, int(l.perSecond*float64(lookupRateWaitMs)/millisPerSecond))
}

// SetRateLimit limits the calls that start per second. Waiting calls that could not start soon are refused.
func (g *Gate) SetRateLimit(perSecond float64, now clock.Millis) []Decision {
	g.rateEpoch++
	if g.rate == nil {
		g.rate = newRateLimit(perSecond, now)
	} else {
		g.rate.set(perSecond, now)
	}
	return g.evictOverLimit(g.dispatch(now, nil), now)
}

// RemoveRateLimit lets calls start without a limit on their rate.
func (g *Gate) RemoveRateLimit(now clock.Millis) []Decision {
	g.rateEpoch++
	g.rate = nil
	return g.dispatch(now, nil)
}

// ChargeRate counts a request to the target that did not pass through the gate towards the rate limit.
func (g *Gate) ChargeRate(now clock.Millis) {
	g.rate.charge(now)
}

// GrantStarts allows n starts ahead of the rate limit, if there is one.
func (g *Gate) GrantStarts(n int, now clock.Millis) []Decision {
	if g.rate == nil {
		return nil
	}
	g.rate.granted = n
	return g.dispatch(now, nil)
}

// RefundRate takes back what was counted for a call that did not reach the target.
func (g *Gate) RefundRate(now clock.Millis) {
	if g.rate != nil {
		g.rate.bucket.Refund(now)
	}
}

// RateEpoch returns the number of changes of the rate limit. Decisions contain the one under which a call was started.
func (g *Gate) RateEpoch() uint64 {
	return g.rateEpoch
}

// rateWaitLimit returns the longest wait of a call of the class for a start within the rate limit.
func rateWaitLimit(class route.Class) clock.Millis {
	if class == route.Lookup {
		return lookupRateWaitMs
	}
	return rateWaitMs
}

// rateQueueOverLimit reports whether more calls wait than can start within the bounds on their wait.
func (g *Gate) rateQueueOverLimit(now clock.Millis) bool {
	waiting := g.queue.len()
	switch {
	case waiting == 0:
		return false
	case g.queue.lookups > 0:
		return g.queue.lookups > g.rate.lookupQueueLimit() || g.rate.waitMs(waiting, now) > rateWaitMs
	default:
		return g.rate.waitForTokens(float64(waiting), now) > rateWaitMs
	}
}
