package gate

import (
	"slices"

	"coltsfootusher.example/core/clock"
)

// FixedLimiter is a Limiter with a constant limit. It relies on the published number of slots,
// which is too high when the target is slower than its owner stated.
type FixedLimiter int

// Limit returns the constant, at least 1.
func (f FixedLimiter) Limit() int {
	return max(1, int(f))
}

// Observe does nothing, because the limit is constant.
func (f FixedLimiter) Observe(Sample, int, clock.Millis) {}

// minWindowMs and minWindowSamples are the minimum duration and number of samples of a measurement window.
const (
	minWindowMs      clock.Millis = 100
	minWindowSamples int          = 100
)

const (
	// baselineWindows is the number of windows whose lowest effective latency is the baseline.
	baselineWindows = 100
	// congestionRatio is the ratio of the effective latency to the baseline above which the target counts as congested.
	congestionRatio = 2.0
	// maxFailedShare is the fraction of failed calls above which the target counts as congested.
	maxFailedShare = 0.2
	// decreaseFactor multiplies the limit in a decrease; increaseShare is the fraction of the slots that an increase adds.
	decreaseFactor = 0.8
	increaseShare  = 0.05
	// helpedRatio is the ratio of the effective latencies after and before a decrease up to which the decrease has helped.
	// It lies halfway between decreaseFactor, the ratio at a congested target, and 1, the ratio at a target that waits for
	// downstream services.
	helpedRatio = 0.9
	// minAdaptiveLimit is the lowest limit, because latency says little about a target that runs hardly any calls.
	minAdaptiveLimit = 4
)

// minHoldMs and maxHoldMs bound the time without further decreases after one that did not help; it doubles each time.
const (
	minHoldMs clock.Millis = 2000
	maxHoldMs clock.Millis = 16_000
)

// AdaptiveLimiter adjusts the limit between minAdaptiveLimit and the published slots, by additive increase and multiplicative
// decrease (AIMD). Its signal is the effective latency, which is the mean latency of successful calls divided by their
// share of all calls, compared with its minimum over the last windows.
//
// It accepts a rise of the effective latency as congestion only when a lower limit reduces it. Latency alone is misleading
// when the slots are held by calls that wait for a slow downstream service: a lower limit then wastes capacity of the target
// and makes no call faster. A decrease that does not help is therefore reverted, and the next one is delayed. Counting
// completions was rejected as a signal, because calls that start together also end together and hide the effect of a decrease.
//
// The signal is also misleading when the minimum was measured with a mix of cheaper requests, when overload lasts longer
// than baselineWindows windows (the limit then stops falling), and when a downstream service recovers just after
// a decrease (the limit then grows back within seconds). The limit does not change while every call fails.
type AdaptiveLimiter struct {
	slots int
	limit float64

	// windowStart lies in the future after a decrease, until the calls that started before it have finished.
	windowStart       clock.Millis
	started           bool
	latencySum        float64
	succeeded, failed int
	peakRunning       int

	recentLatencies []float64
	// latencyBeforeDecrease is the effective latency before the last decrease, or 0 when the decrease has been evaluated.
	latencyBeforeDecrease, limitBeforeDecrease float64
	holdUntil, holdMs                          clock.Millis
}

// NewAdaptiveLimiter returns an adaptive limiter that starts at the published number of slots.
func NewAdaptiveLimiter(slots int) *AdaptiveLimiter {
	slots = max(1, slots)
	return &AdaptiveLimiter{slots: slots, limit: float64(slots), holdMs: minHoldMs}
}

// Limit returns the current limit.
func (a *AdaptiveLimiter) Limit() int {
	return max(1, int(a.limit))
}

// Resize sets the published number of slots. A limit at the previous maximum is set to the new one.
func (a *AdaptiveLimiter) Resize(slots int) {
	slots = max(1, slots)
	if a.Limit() >= a.slots {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(a.limit, float64(slots))
}

// Observe adds a sample and adjusts the limit when the window is complete. Cancelled calls are ignored, because their
// latency is only a lower bound.
func (a *AdaptiveLimiter) Observe(s Sample, running int, now clock.Millis) {
	if !a.started {
		a.windowStart, a.started = now, true
	}
	if now < a.windowStart || s.Cancelled {
		return
	}
	a.peakRunning = max(a.peakRunning, running)
	if s.Failed {
		a.failed++
	} else {
		a.succeeded++
		a.latencySum += s.LatencyMs
	}
	if now-a.windowStart < minWindowMs || a.succeeded+a.failed < minWindowSamples {
		return
	}
	a.windowStart = now
	if a.succeeded > 0 {
		a.adjust(now)
	}
	a.latencySum, a.succeeded, a.failed, a.peakRunning = 0, 0, 0, 0
}

// adjust changes the limit according to the samples of the completed window.
func (a *AdaptiveLimiter) adjust(now clock.Millis) {
	meanMs := a.latencySum / float64(a.succeeded)
	succeededShare := float64(a.succeeded) / float64(a.succeeded+a.failed)
	effectiveMs := meanMs / succeededShare
	congested := a.aboveBaseline(effectiveMs) || succeededShare < 1-maxFailedShare
	previousMs := a.latencyBeforeDecrease
	a.latencyBeforeDecrease = 0
	switch {
	case !congested:
		a.holdMs = minHoldMs
		a.increase()
	case previousMs > 0 && effectiveMs > helpedRatio*previousMs:
		a.limit = min(a.limitBeforeDecrease, float64(a.slots))
		a.holdUntil = now + a.holdMs
		a.holdMs = min(2*a.holdMs, maxHoldMs)
	case now < a.holdUntil:
		a.increase()
	case a.peakRunning >= a.Limit():
		a.latencyBeforeDecrease, a.limitBeforeDecrease = effectiveMs, a.limit
		a.limit = max(a.limit*decreaseFactor, min(minAdaptiveLimit, a.limit))
		a.windowStart = now + clock.Millis(meanMs)
	}
}

func (a *AdaptiveLimiter) increase() {
	a.limit = min(a.limit+max(1, increaseShare*float64(a.slots)), float64(a.slots))
}

// aboveBaseline adds the effective latency of a window to the baseline and reports whether it exceeds it by congestionRatio.
func (a *AdaptiveLimiter) aboveBaseline(effectiveMs float64) bool {
	a.recentLatencies = append(a.recentLatencies, effectiveMs)
	if len(a.recentLatencies) > baselineWindows {
		a.recentLatencies = a.recentLatencies[1:]
	}
	return effectiveMs > congestionRatio*slices.Min(a.recentLatencies)
}
