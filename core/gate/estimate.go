package gate

import (
	"math"

	"coltsfootusher.example/core/clock"
)

const (
	// estimateWeight is the weight of one sample in the moving mean.
	estimateWeight = 0.05
	// estimateHalfLifeMs is the time without samples in which the estimate loses half of its value.
	// Without this decay, an estimate above every deadline would refuse all calls and never be corrected.
	estimateHalfLifeMs = 500
)

// serviceTimeEstimate is the recent service time of the target.
type serviceTimeEstimate struct {
	mean    float64
	updated clock.Millis
}

// observe takes a sample. A failed or cancelled call can only raise the estimate, as a fast failure says nothing
// about the time that a success takes.
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

// valueMs returns the expected service time in milliseconds; 0 when nothing is known.
func (e *serviceTimeEstimate) valueMs(now clock.Millis) float64 {
	// The sample interval of a lightly used target must not count as missing samples.
	silent := float64(now-e.updated) - estimateHalfLifeMs
	if silent <= 0 {
		return e.mean
	}
	return e.mean * math.Exp2(-silent/estimateHalfLifeMs)
}
