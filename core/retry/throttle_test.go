package retry_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// sendCalls sends 100 calls per second from one time to the other, of which acceptedPercent are accepted, and returns the
// number of calls that the throttle refused.
func sendCalls(t *retry.Throttle, key retry.ThrottleKey, from, to clock.Millis, acceptedPercent int) int {
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

// The throttle must not refuse calls without overload, calls of accounts whose calls are accepted, or calls long after the
// overload has ended.
func TestThrottleRefusesOnlyOverloadedAccounts(t *testing.T) {
	const seed = 4
	t.Logf("seed=%d", seed)
	throttle := retry.NewThrottle(rand.New(rand.NewPCG(seed, 0)))
	served, unserved := retry.ThrottleKey{Account: "served"}, retry.ThrottleKey{Account: "unserved"}
	assert.Equal(t, sendCalls(throttle, served, 0, 10_000, 100), 0)
	assert.Equal(t, sendCalls(throttle, served, 10_000, 20_000, 60), 0)
	refused := sendCalls(throttle, unserved, 10_000, 20_000, 0)
	assert.Assert(t, refused > 900, refused)
	assert.Equal(t, sendCalls(throttle, served, 20_000, 21_000, 100), 0)
	refused = sendCalls(throttle, unserved, 20_000, 30_000, 100)
	assert.Assert(t, refused < 150, refused)
	assert.Equal(t, sendCalls(throttle, unserved, 30_000, 40_000, 100), 0)
}
