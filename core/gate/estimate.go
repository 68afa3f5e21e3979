package gate

import (
	"math"

	"coltsfootusher.example/core/clock"
)

const (
	// estimateWeight is the weight of a new sample in the moving mean.
	estimateWeight = 0.05
	// estimateHalfLifeMs is the half-life of the estimate while no samples arrive. Without this decay, an estimate above
	// every deadline would refuse all calls, so that no sample could ever correct it.
	estimateHalfLifeMs = 500
)

// serviceTimeEstimate is a moving mean of the target's recent service time.
type serviceTimeEstimate struct {
	mean    float64
	updated clock.Millis
}

// observe adds a sample. A failed or cancelled call can only raise the estimate, because a fast failure says nothing
// about the duration of a successful call.
func (e *serviceTimeEstimate) observe(s Sample, now clock.Millis) {
	current := e.valueMs(now)
	if (s.Failed || s.Cancelled) && s.LatencyMs <= current {
		return
	}
	e.mean = current + estimateWeight*(s.LatencyMs-current)
	if current == 0 {
		e.mean = s.LatencyMs
	}
	e.updated = now
}

// valueMs returns the expected service time in milliseconds, or 0 before the first sample.
func (e *serviceTimeEstimate) valueMs(now clock.Millis) float64 {
	// The decay starts only after one half-life without samples, since samples of a lightly used target are far apart.
	idleMs := float64(now-e.updated) - estimateHalfLifeMs
	if idleMs <= 0 {
		return e.mean
	}
	return e.mean * math.Exp2(-idleMs/estimateHalfLifeMs)
}
