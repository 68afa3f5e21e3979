package targetstatus

import (
	"math"

	"github.com/zeebo/errs"
)

// Error is the class of errors about malformed statuses.
var Error = errs.Class("targetstatus")

// MaxLimitPerSecond is the highest limit that is believed. It is far above what a target can serve.
const MaxLimitPerSecond = 1e6

// Lifetime identifies one run of a target's process: a target that restarts can keep its id.
type Lifetime struct {
	Target string
	// StartedMs is the start time of the target in Unix milliseconds; 0 means unknown.
	StartedMs int64
}

// Status is what a target states about itself in its answers.
type Status struct {
	// Limited is true if the target names a limit, LimitPerSecond the number of requests per second that it accepts from all
	// nodes together.
	Limited        bool    `json:"limited,omitempty"`
	LimitPerSecond float64 `json:"limitPerSecond,omitempty"`
	// Leaving is true if the target shuts down and must get no new requests. It holds until the end of the target's lifetime.
	Leaving bool `json:"leaving,omitempty"`
	// StartedMs is the start time of the lifetime in which the target stated this; 0 means unknown.
	StartedMs int64 `json:"startedMs,omitempty"`
}

// in returns the status as it holds in the lifetime: nothing that was stated in an earlier one does.
func (s Status) in(l Lifetime) Status {
	if s.StartedMs != 0 && l.StartedMs > s.StartedMs {
		return Status{}
	}
	return s
}

// normalized returns the status without the lifetime if it states nothing.
func (s Status) normalized() Status {
	if !s.Limited && !s.Leaving {
		return Status{}
	}
	return s
}

// Validate returns an error for a limit that no target can mean.
func (s Status) Validate() error {
	if math.IsNaN(s.LimitPerSecond) || s.LimitPerSecond < 0 || s.LimitPerSecond > MaxLimitPerSecond {
		return Error.New("limit of %v requests per second is out of range", s.LimitPerSecond)
	}
	return nil
}

// Report is the status in one answer. A part with an error could not be read.
type Report struct {
	Status
	LimitErr, LeavingErr error
}

// Err returns the first error of the report, or nil.
func (r Report) Err() error {
	if r.LimitErr != nil {
		return r.LimitErr
	}
	return r.LeavingErr
}

// appliedTo returns the status after the report of an answer in the lifetime. A part that could not be read stays as it was. That
// the target leaves stays true: an answer without it was written before, or is false.
func (r Report) appliedTo(s Status, l Lifetime) Status {
	if r.LimitErr == nil {
		s.Limited, s.LimitPerSecond = r.Limited, r.LimitPerSecond
	}
	s.Leaving = s.Leaving || r.LeavingErr == nil && r.Leaving
	s.StartedMs = l.StartedMs
	return s.normalized()
}
