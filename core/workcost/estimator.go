package workcost

import (
	"math"

	"coltsfootusher.example/core/clock"
)

// Mode says for which services the part is on.
type Mode string

// The modes.
const (
	// Auto turns the part on for services whose targets report their slowness.
	Auto Mode = "auto"
	// On turns it on for all services, also for those whose targets report nothing.
	On Mode = "on"
	// Off turns it off.
	Off Mode = "off"
)

// IsValid reports whether the mode is known.
func (m Mode) IsValid() bool {
	return m == Auto || m == On || m == Off
}

// missingReports is the number of consecutive answers without a report after which a service counts as not reporting. Single
// answers come without one when nodes or targets of two versions run.
const missingReports = 100

// Switch tells whether the part is on for a service.
type Switch struct {
	mode      Mode
	reporting bool
	missing   int
}

// NewSwitch returns the switch of a service of which nothing is known yet.
func NewSwitch(m Mode) *Switch {
	return &Switch{mode: m}
}

// Observe records whether an answer contained a report, and reports whether the part was turned on or off by it.
func (s *Switch) Observe(reported bool) bool {
	before := s.On()
	if reported {
		s.reporting, s.missing = true, 0
	} else if s.missing++; s.missing >= missingReports {
		s.reporting = false
	}
	return s.On() != before
}

// On reports whether the part is on.
func (s *Switch) On() bool {
	return s.mode == On || s.mode == Auto && s.reporting
}

// Estimator estimates the slot times of requests at one target.
type Estimator struct {
	// OnSwitch is called when a report, or the lack of reports, turns the estimates on or off; it may be nil.
	OnSwitch func(on bool)

	book     *Book
	active   *Switch
	slowness Slowness
}

// NewEstimator returns an estimator for a target of which nothing is known yet.
func NewEstimator(m Mode) *Estimator {
	return &Estimator{book: New(), active: NewSwitch(m)}
}

// On reports whether decisions use the estimates.
func (e *Estimator) On() bool {
	return e.active.On()
}

// Observe records the end of a request. percent is the slowness that came with the target's answer, 0 if none did, and answered
// tells whether the target answered at all. Nothing is learned while the part is off.
func (e *Estimator) Observe(k Key, s Sample, percent int, answered bool, now clock.Millis) {
	if answered && e.active.Observe(percent > 0) && e.OnSwitch != nil {
		e.OnSwitch(e.On())
	}
	if !e.On() {
		return
	}
	e.slowness.Report(percent, now)
	s.Slowness = e.slowness.Factor(now)
	e.book.Observe(k, s, now)
}

// Estimate returns the expected slot time of a request at the usual speed.
func (e *Estimator) Estimate(k Key, now clock.Millis) Estimate {
	return e.book.Estimate(k, now)
}

// RefusalMs returns the time that a request needs at least at the present speed, for refusals.
func (e *Estimator) RefusalMs(k Key, now clock.Millis) float64 {
	return e.book.RefusalMs(k, now) * e.slowness.Factor(now)
}

// Factor returns the target's present slowness.
func (e *Estimator) Factor(now clock.Millis) float64 {
	return e.slowness.Factor(now)
}

// Percent returns the target's present slowness in percent.
func (e *Estimator) Percent(now clock.Millis) int {
	return max(1, int(math.Round(e.slowness.Factor(now)*NormalPercent)))
}

// TargetStarted forgets what the target reported before its restart; a restarted target may run on another machine.
func (e *Estimator) TargetStarted() {
	e.slowness = Slowness{}
}

// Keys returns the number of keys with an estimate.
func (e *Estimator) Keys() int {
	return e.book.Len()
}
