package quota

import (
	"math"

	"coltsfootusher.example/core/clock"
)

// RateMeter measures the rate of events as an exponentially decaying average.
type RateMeter struct {
	weight    float64
	updatedAt clock.Millis
}

// Add counts one event.
func (r *RateMeter) Add(now clock.Millis) {
	r.decay(now)
	r.weight++
}

// PerSecond returns the recent rate.
func (r *RateMeter) PerSecond(now clock.Millis) float64 {
	r.decay(now)
	// At a steady rate the weight converges to rate x half-life / ln 2.
	return r.weight * math.Ln2 * millisPerSecond / demandHalfLifeMs
}

func (r *RateMeter) decay(now clock.Millis) {
	elapsed := float64(now - r.updatedAt)
	if elapsed <= 0 {
		return
	}
	r.weight *= math.Exp2(-elapsed / demandHalfLifeMs)
	r.updatedAt = now
}
