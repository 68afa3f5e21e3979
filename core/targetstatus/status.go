package targetstatus

import (
	"math"

	"github.com/zeebo/errs"
)

// Error is the class of errors about malformed statuses.
var Error = errs.Class("targetstatus")

// MaxLimitPerSecond is the highest limit that is believed. It is far above what a target can serve.
const MaxLimitPerSecond = 1e6

// Status is what a target states about itself in an answer.
type Status struct {
	// Limited is true if the target names a limit, LimitPerSecond the number of requests per second that it accepts from all
	// nodes together.
	Limited        bool    `json:"limited,omitempty"`
	LimitPerSecond float64 `json:"limitPerSecond,omitempty"`
	// Leaving is true if the target shuts down and must get no new requests.
	Leaving bool `json:"leaving,omitempty"`
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

// appliedTo returns the status after the report. A part that could not be read stays as it was.
func (r Report) appliedTo(s Status) Status {
	if r.LimitErr == nil {
		s.Limited, s.LimitPerSecond = r.Limited, r.LimitPerSecond
	}
	if r.LeavingErr == nil {
		s.Leaving = r.Leaving
	}
	return s
}
