package gate

import (
	"slices"

	"coltsfootusher.example/core/clock"
)

// FixedLimiter is a Limiter with a constant limit. It trusts the published number of slots,
// which is too high when the target is slower than its owner promised.
type FixedLimiter int

// Limit returns the constant, at least 1.
func (f FixedLimiter) Limit() int {
	return max(1, int(f))
}

// Observe ignores the sample.
func (f FixedLimiter) Observe(Sample, int, clock.Millis) {}

// minWindowMs and minWindowSamples are the least time and number of samples from which a conclusion is drawn.
const (
	minWindowMs      clock.Millis = 100
	minWindowSamples int          = 100
)

const (
	// baselineWindows is the number of windows over which the lowest effort is kept.
	baselineWindows = 100
	// congestionRatio is the ratio of the effort to the baseline above which the target counts as congested.
	congestionRatio = 2.0
	// maxFailedShare is the share of failed calls above which the target counts as congested.
	maxFailedShare = 0.2
	// decreaseFactor is the factor of a decrease, growth the share of the slots by which the limit grows per window.
	decreaseFactor = 0.8
	increaseShare  = 0.05
	// helpedRatio is the ratio of the efforts after and before a decrease up to which the decrease has helped.
	// It lies halfway between cutFactor, where a congested target arrives, and 1 for one that waits for others.
	helpedRatio = 0.9
	// minAdaptiveLimit is the lowest limit, as latency says little about a target that runs almost nothing.
	minAdaptiveLimit = 4
)

// minHoldMs and maxHoldMs bound the time without decreases after one that did not help; it doubles each time.
const (
	minHoldMs clock.Millis = 2000
	maxHoldMs clock.Millis = 16_000
)

// AdaptiveLimiter is a Limiter between a small floor and the published slots, by additive increase and multiplicative
// decrease on the effort, which is the target's latency per successful call, against its moving minimum.
//
// It trusts a rise of the effort only when a lower limit reduces it. Latency alone is misleading when the slots are held
// by calls that wait for a slow downstream service: a lower limit then wastes capacity of the target and shortens no call.
// A decrease that does not help is therefore taken back, and the next one is put off. Counting completions instead
// was rejected, because calls that start together also end together and hide the effect of a decrease.
//
// The signal is also misleading when the moving minimum comes from a mix of cheaper requests, when overload lasts longer
// than the moving minimum remembers (the limit then stops falling), and when a downstream service recovers just after
// a decrease (the limit then grows back within seconds). A target that fails every call leaves the limit as it is.
type AdaptiveLimiter struct {
	slots int
	limit float64

	// windowStart lies in the future while calls that started before a decrease still end.
	windowStart       clock.Millis
	started           bool
	latencySum        float64
	succeeded, failed int
	peakRunning       int

	recentLatencies []float64
	// latencyBeforeDecrease and limitBeforeDecrease were in force when the limit was last decreased; latencyBeforeDecrease is 0
	// when that was judged.
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

// Resize sets the published number of slots. A limit that was at the former number follows.
func (a *AdaptiveLimiter) Resize(slots int) {
	slots = max(1, slots)
	if a.Limit() >= a.slots {
		a.limit = float64(slots)
	}
	a.slots = slots
	a.limit = min(a.limit, float64(slots))
}

// Observe takes a sample and adjusts the limit when a window is complete. Cancelled calls say nothing reliable.
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

// adjust draws the conclusion from a window.
func (a *AdaptiveLimiter) adjust(now clock.Millis) {
	mean := a.latencySum / float64(a.succeeded)
	succeededShare := float64(a.succeeded) / float64(a.succeeded+a.failed)
	effort := mean / succeededShare
	congested := a.aboveBaseline(effort) || succeededShare < 1-maxFailedShare
	judged := a.latencyBeforeDecrease
	a.latencyBeforeDecrease = 0
	switch {
	case !congested:
		a.holdMs = minHoldMs
		a.increase()
	case judged > 0 && effort > helpedRatio*judged:
		a.limit = min(a.limitBeforeDecrease, float64(a.slots))
		a.holdUntil = now + a.holdMs
		a.holdMs = min(2*a.holdMs, maxHoldMs)
	case now < a.holdUntil:
		a.increase()
	case a.peakRunning >= a.Limit():
		a.latencyBeforeDecrease, a.limitBeforeDecrease = effort, a.limit
		a.limit = max(a.limit*decreaseFactor, min(minAdaptiveLimit, a.limit))
		a.windowStart = now + clock.Millis(mean)
	}
}

func (a *AdaptiveLimiter) increase() {
	a.limit = min(a.limit+max(1, increaseShare*float64(a.slots)), float64(a.slots))
}

// aboveBaseline compares the effort with the moving minimum, of which it becomes a part.
func (a *AdaptiveLimiter) aboveBaseline(effort float64) bool {
	a.recentLatencies = append(a.recentLatencies, effort)
	if len(a.recentLatencies) > baselineWindows {
		a.recentLatencies = a.recentLatencies[1:]
	}
	return effort > congestionRatio*slices.Min(a.recentLatencies)
}
