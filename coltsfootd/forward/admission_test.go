package forward_test

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/forward"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/intake"
)

// tokenBuckets is a limiter with a token bucket for each account.
type tokenBuckets struct {
	clock   clock.Clock
	buckets map[string]*bucket
}

type bucket struct {
	perMs, tokens float64
	at            clock.Millis
}

// Admit takes a token.
func (r *tokenBuckets) Admit(_ context.Context, a account.Account, _ bool) (bool, clock.Millis) {
	b, now := r.buckets[a.ID], r.clock.Now()
	b.tokens = min(10, b.tokens+b.perMs*float64(now-b.at))
	b.at = now
	if b.tokens < 1 {
		return false, 1
	}
	b.tokens--
	return true, 0
}

// Refund returns a token.
func (r *tokenBuckets) Refund(a account.Account, _ bool) {
	r.buckets[a.ID].tokens++
}

type enoughSockets struct{}

// NearlyExhausted reports that enough descriptors are left.
func (enoughSockets) NearlyExhausted() bool { return false }

// One account sends twenty times its rate on a route behind which a deeper service is overloaded. Guards against refusing lookups
// of an account within its rate because the other one uses up the admitted share.
func TestAccountOverItsRateDoesNotStarveOthers(t *testing.T) {
	const (
		endMs, hotPerMs, otherEveryMs = 10_000, 4, 10
		hotRate, otherRate            = 0.2, 0.2
		// capacityPerMs is the capacity of the service, less than both accounts may send together.
		capacityPerMs = 0.1
	)
	c := clock.NewFake(1)
	limiter := &tokenBuckets{clock: c, buckets: map[string]*bucket{"hot": {perMs: hotRate}, "other": {perMs: otherRate}}}
	admission := forward.Admission{
		Clock: c, Sockets: enoughSockets{}, Limiter: limiter, Throttle: intake.New(rand.New(rand.NewPCG(1, 1))),
	}
	random := rand.New(rand.NewPCG(1, 2))
	capacity, sent, served := 0.0, 0, 0
	send := func(id string) bool {
		r := forward.AdmissionRequest{
			Account: account.Account{ID: id}, Limited: true, Throttled: true, Lookup: intake.Call{Route: "r", TimeoutMs: 1000},
		}
		if reason, _ := admission.Admit(context.Background(), r); reason != "" {
			return false
		}
		reply := dispatch.Reply{Run: call.WasRun}
		if capacity < 1 {
			reply.InnerRefused = true
		} else {
			capacity--
		}
		admission.Done(r, "trails", forward.Result{Reply: reply})
		return !reply.InnerRefused
	}
	for now := clock.Millis(2); now < endMs; now++ {
		c.Advance(1)
		capacity = min(5, capacity+capacityPerMs)
		first := random.IntN(hotPerMs)
		for i := range hotPerMs {
			if i == first && now%otherEveryMs == 0 {
				sent++
				if send("other") {
					served++
				}
			}
			send("hot")
		}
	}
	// The other account sends 0.1 requests per millisecond and the hot one may send 0.2, while the capacity is 0.1: a third of
	// the calls can be served.
	assert.Assert(t, float64(served) > 0.25*float64(sent), "%d of %d served", served, sent)
}

// slowLimiter answers when the request's context ends.
type slowLimiter struct{}

// Admit waits in vain.
func (slowLimiter) Admit(ctx context.Context, _ account.Account, _ bool) (bool, clock.Millis) {
	<-ctx.Done()
	return false, 0
}

// Refund does nothing.
func (slowLimiter) Refund(account.Account, bool) {}

// Guards against answering a caller that still waits with a status that tells it not to retry, because the tokens of its account
// didn't arrive before the timeout of the request.
func TestWaitForTokensUntilTheTimeoutIsNotADisconnect(t *testing.T) {
	a := forward.Admission{Clock: clock.NewFake(1), Sockets: enoughSockets{}, Limiter: slowLimiter{}}
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	reason, _ := a.Admit(ctx, forward.AdmissionRequest{Limited: true})
	assert.Equal(t, reason, call.ReasonDeadlineExceeded)
	cancel()
	gone, disconnect := context.WithCancel(t.Context())
	disconnect()
	reason, _ = a.Admit(gone, forward.AdmissionRequest{Limited: true})
	assert.Equal(t, reason, call.ReasonCallerGone)
}
