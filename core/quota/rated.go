package quota

import (
	"math"

	"coltsfootusher.example/core/clock"
)

// RateMeter measures the rate of events with exponential decay.
type RateMeter struct {
	weight  float64
	updated clock.Millis
}

// Add counts one event.
func (r *RateMeter) Add(now clock.Millis) {
	r.decay(now)
	r.weight++
}

// PerSecond returns the recent rate.
func (r *RateMeter) PerSecond(now clock.Millis) float64 {
	r.decay(now)
	// The weights of a steady rate sum up to rate x half-life / ln 2.
	return r.weight * math.Ln2 * millisPerSecond / demandHalfLifeMs
}

func (r *RateMeter) decay(now clock.Millis) {
	elapsed := float64(now - r.updated)
	if elapsed <= 0 {
		return
	}
	r.weight *= math.Exp2(-elapsed / demandHalfLifeMs)
	r.updated = now
}
