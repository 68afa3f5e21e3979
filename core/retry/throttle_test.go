package retry_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// throttled sends 100 calls a second for the time, of which the share in percent is accepted, and returns the number
// of calls that were refused.
func throttled(t *retry.Throttle, key retry.ThrottleKey, from, to clock.Millis, acceptedPercent int) int {
	refused := 0
	for now := from; now < to; now += 10 {
		if !t.Admit(key, now) {
			refused++
			continue
		}
		t.Done(key, int(now/10)*acceptedPercent%100 < acceptedPercent, now)
	}
	return refused
}

// Guards against a throttle that acts without overload, hits accounts whose calls are accepted, or outlasts overload.
func TestThrottle(t *testing.T) {
	const seed = 4
	t.Logf("seed=%d", seed)
	throttle := retry.NewThrottle(retry.DefaultThrottleFactor, rand.New(rand.NewPCG(seed, 0)))
	served, unserved := retry.ThrottleKey{Account: "served"}, retry.ThrottleKey{Account: "unserved"}
	assert.Equal(t, throttled(throttle, served, 0, 10_000, 100), 0)
	assert.Equal(t, throttled(throttle, served, 10_000, 20_000, 60), 0)
	refused := throttled(throttle, unserved, 10_000, 20_000, 0)
	assert.Assert(t, refused > 900, refused)
	assert.Equal(t, throttled(throttle, served, 20_000, 21_000, 100), 0)
	refused = throttled(throttle, unserved, 20_000, 30_000, 100)
	assert.Assert(t, refused < 150, refused)
	assert.Equal(t, throttled(throttle, unserved, 30_000, 40_000, 100), 0)
}

// chainOutcome sends 100 lookups a second whose chain has room for the given number, and returns how many chains failed
// after they had begun, and how many were served.
func chainOutcome(factor float64, room int, seed uint64) (failed, served int) {
	throttle := retry.NewThrottle(factor, rand.New(rand.NewPCG(seed, 0)))
	key := retry.ThrottleKey{Route: "riders"}
	used := 0
	for now := clock.Millis(0); now < 20_000; now += 10 {
		if now%1000 == 0 {
			used = 0
		}
		if !throttle.Admit(key, now) {
			continue
		}
		// The room of a second is spread over it.
		accepted := used < room*(int(now%1000)/10+1)/100+1
		if accepted {
			used++
			served++
		} else {
			failed++
		}
		throttle.Done(key, accepted, now)
	}
	return failed, served
}

// Load pattern: a service at the end of a chain has room for half of the lookups. Guards against chains that run at the
// services in front and then fail, as many as are served.
func TestSmallFactorWastesFewChains(t *testing.T) {
	const seed = 5
	t.Logf("seed=%d", seed)
	wide, servedWide := chainOutcome(retry.DefaultThrottleFactor, 50, seed)
	narrow, servedNarrow := chainOutcome(1.2, 50, seed)
	t.Logf("factor 2: %d failed, %d served; factor 1.2: %d failed, %d served", wide, servedWide, narrow, servedNarrow)
	assert.Assert(t, narrow*2 < wide)
	assert.Assert(t, servedNarrow*10 > servedWide*9)
}
