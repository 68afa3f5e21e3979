package workcost

import (
	"math"

	"coltsfootusher.example/core/clock"
)

const (
	// MinPercent is the lowest plausible report of a target's slowness.
	MinPercent = 10
	// MaxPercent is the highest plausible report. Twenty times the usual time is beyond what a shared machine does to a target that
	// still answers.
	MaxPercent = 2000
	// NormalPercent is the slowness of a target that works at the usual speed.
	NormalPercent = 100

	// reportHalfLifeMs is the age at which a report has half of its weight against the mean of the target's reports; the load of
	// shared machines changes about every 600 ms.
	reportHalfLifeMs = 400
	// meanHalfLifeMs is the half-life of the reports in their mean. It spans several changes of the load of a shared machine.
	meanHalfLifeMs = 4000
	// staleMs is the age from which a report counts as missing.
	staleMs clock.Millis = 5000
)

// Slowness is how long work takes at one target compared with the usual time, from the target's reports.
type Slowness struct {
	last, mean float64
	at         clock.Millis
	known      bool
}

// IsPlausiblePercent reports whether a target may have meant the reported slowness.
func IsPlausiblePercent(percent int) bool {
	return percent >= MinPercent && percent <= MaxPercent
}

func isPlausible(factor float64) bool {
	return factor >= float64(MinPercent)/NormalPercent && factor <= float64(MaxPercent)/NormalPercent
}

// Report records a report in percent. A value that is not plausible is ignored.
func (s *Slowness) Report(percent int, now clock.Millis) {
	if !IsPlausiblePercent(percent) {
		return
	}
	value := float64(percent) / NormalPercent
	if !s.known || now-s.at >= staleMs {
		s.mean = value
	}
	s.mean += (1 - math.Exp2(-float64(max(0, now-s.at))/meanHalfLifeMs)) * (value - s.mean)
	s.last, s.at, s.known = value, now, true
}

// Factor returns the expected slowness now. The weight of the last report falls with its age in favor of the mean of the reports.
// Without a recent report the target counts as working at the usual speed.
func (s *Slowness) Factor(now clock.Millis) float64 {
	if !s.known || now-s.at >= staleMs {
		return 1
	}
	weight := math.Exp2(-float64(max(0, now-s.at)) / reportHalfLifeMs)
	return weight*s.last + (1-weight)*s.mean
}
