package retry

import (
	"math"
	"math/rand/v2"
	"sync"

	"coltsfootusher.example/core/clock"
)

const (
	// throttleHalfLifeMs is the time in which counted calls lose half of their number. After overload the accepted calls
	// double in about this time and the latency, and goodput has to recover within two seconds.
	throttleHalfLifeMs = 250
	// throttleFactor is the number of calls sent on per accepted one. The gates still choose among the calls, and by
	// account, only as long as more calls reach them than they can accept.
	throttleFactor = 2
	// maxThrottleCounters bounds the memory; further cells are not throttled until counted calls have decayed.
	maxThrottleCounters = 4096
	// maxIdleCalls is the number of counted calls below which a cell is forgotten.
	maxIdleCalls = 0.01
)

// ThrottleKey names the calls that are throttled together.
type ThrottleKey struct {
	Account string
	Route   string
}

// Throttle refuses root calls at the entry while most calls of the same account and route fail because of overload, so
// that they don't use the services in front of the overloaded one. It is safe for concurrent use.
//
// It trusts the outcome of this entry's own calls. That is misleading for some hundred milliseconds after the overload
// has ended, and with few calls per account and route at an entry it refuses little.
type Throttle struct {
	mu       sync.Mutex
	random   *rand.Rand
	counters map[ThrottleKey]*throttleCounter
}

type throttleCounter struct {
	calls, accepted float64
	updated         clock.Millis
}

// NewThrottle returns a throttle that has seen no calls.
func NewThrottle(random *rand.Rand) *Throttle {
	return &Throttle{random: random, counters: make(map[ThrottleKey]*throttleCounter)}
}

// Admit reports whether a call may be sent on; Done must be called at the end of one that may.
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

// Done counts a call that was sent on; accepted is false when it failed because of overload. Calls are counted at their
// end, as otherwise those under way would seem to be unaccepted.
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

// counter returns the counter of the key, decayed to the time, or nil when there are too many.
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

func (t *Throttle) dropIdleCounters(now clock.Millis) {
	for key, c := range t.counters {
		if c.decay(now); c.calls < maxIdleCalls {
			delete(t.counters, key)
		}
	}
}

func (c *throttleCounter) decay(now clock.Millis) {
	if elapsed := float64(now - c.updated); elapsed > 0 {
		left := math.Exp2(-elapsed / throttleHalfLifeMs)
		c.calls *= left
		c.accepted *= left
		c.updated = now
	}
}
