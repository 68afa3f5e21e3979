package bottleneck

import (
	"math"

	"coltsfootusher.example/core/clock"
)

const (
	// utilizationHalfLifeMs is the half-life of the samples of a utilization. It is close to the time in which a queue fills or
	// empties.
	utilizationHalfLifeMs = 150
	// failuresHalfLifeMs is that of the samples of failed requests, of which one origin sees some ten per second.
	failuresHalfLifeMs = 1000
)

// average is the mean of recent samples, weighted by their age.
type average struct {
	halfLifeMs  float64
	sum, weight float64
	updated     clock.Millis
}

func (a *average) add(sample float64, now clock.Millis) {
	a.decay(now)
	a.sum += sample
	a.weight++
}

// value returns the mean, or 0 without samples.
func (a *average) value() float64 {
	if a.weight == 0 {
		return 0
	}
	return a.sum / a.weight
}

func (a *average) decay(now clock.Millis) {
	elapsed := float64(now - a.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed / a.halfLifeMs)
	a.sum *= factor
	a.weight *= factor
	a.updated = now
}
