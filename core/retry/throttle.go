package retry

import (
	"math"
	"math/rand/v2"
	"sync"

	"coltsfootusher.example/core/clock"
)

const (
	// throttleHalfLifeMs is the half-life of the call counts. After an overload, the accepted calls double in about this
	// time plus the latency, and goodput has to recover within two seconds.
	throttleHalfLifeMs = 250
	// throttleFactor is the number of calls forwarded per accepted call. It exceeds 1 because the gates can order calls by
	// rank and account only while more calls reach them than they can accept.
	throttleFactor = 2
	// maxThrottleCounters limits the memory. Calls with further keys are not throttled until idle counters are dropped.
	maxThrottleCounters = 4096
	// maxIdleCalls is the decayed call count below which a counter is idle and is dropped.
	maxIdleCalls = 0.01
)

// ThrottleKey identifies the calls that are throttled together.
type ThrottleKey struct {
	Account string
	Route   string
}

// Throttle is an adaptive throttle at the entry: it refuses root calls while most calls of the same account and route fail
// because of overload, so that they don't load the services in front of the overloaded one. It is safe for concurrent use.
//
// It relies on the results of the calls of this entry alone. These are out of date for a few hundred milliseconds after the
// overload has ended, and with few calls per account and route at an entry it refuses little.
type Throttle struct {
	mu       sync.Mutex
	random   *rand.Rand
	counters map[ThrottleKey]*throttleCounter
}

type throttleCounter struct {
	calls, accepted float64
	updated         clock.Millis
}

// NewThrottle returns a throttle without any counted calls.
func NewThrottle(random *rand.Rand) *Throttle {
	return &Throttle{random: random, counters: make(map[ThrottleKey]*throttleCounter)}
}

// Admit reports whether a call may be forwarded. If so, Done must be called when it has finished.
func (t *Throttle) Admit(key ThrottleKey, now clock.Millis) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counter(key, now)
	if c == nil || t.random.Float64() >= (c.calls-throttleFactor*c.accepted)/(c.calls+1) {
		return true
	}
	c.calls++
	return false
}

// Done counts a forwarded call; accepted is false when it failed because of overload. Calls are counted when they finish,
// because otherwise calls in flight would count as not accepted.
func (t *Throttle) Done(key ThrottleKey, accepted bool, now clock.Millis) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.counter(key, now)
	if c == nil {
		return
	}
	c.calls++
	if accepted {
		c.accepted++
	}
}

// counter returns the counter of the key, decayed to now, or nil when there are too many counters.
func (t *Throttle) counter(key ThrottleKey, now clock.Millis) *throttleCounter {
	c := t.counters[key]
	if c == nil {
		if len(t.counters) >= maxThrottleCounters {
			t.dropIdleCounters(now)
		}
		if len(t.counters) >= maxThrottleCounters {
			return nil
		}
		c = &throttleCounter{updated: now}
		t.counters[key] = c
	}
	c.decay(now)
	return c
}

// dropIdleCounters deletes the counters without recent calls.
func (t *Throttle) dropIdleCounters(now clock.Millis) {
	for key, c := range t.counters {
		if c.decay(now); c.calls < maxIdleCalls {
			delete(t.counters, key)
		}
	}
}

func (c *throttleCounter) decay(now clock.Millis) {
	if elapsedMs := float64(now - c.updated); elapsedMs > 0 {
		factor := math.Exp2(-elapsedMs / throttleHalfLifeMs)
		c.calls *= factor
		c.accepted *= factor
		c.updated = now
	}
}
