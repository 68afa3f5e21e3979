package bottleneck

import (
	"math"

	"github.com/zeebo/errs"
)

// Error is the class of errors about malformed reports.
var Error = errs.Class("bottleneck")

// maxUtilization is the highest utilization that is reported. A gate's queue is a few times as long as its number of slots.
const maxUtilization = 8

// Report names the most utilized service of a call chain.
type Report struct {
	Service string `json:"service"`
	// Utilization is the number of running and waiting requests per slot.
	Utilization float64 `json:"utilization"`
}

// NewReport returns the report about a target of the service that runs and keeps waiting the numbers of requests. It is empty if
// the limit is not known.
func NewReport(service string, running, waiting, limit int) Report {
	if limit <= 0 {
		return Report{}
	}
	return Report{Service: service, Utilization: min(maxUtilization, float64(running+waiting)/float64(limit))}
}

// Known reports whether the report names a service.
func (r Report) Known() bool {
	return r.Service != ""
}

// Worse returns the report with the higher utilization.
func (r Report) Worse(other Report) Report {
	if !r.Known() || other.Known() && other.Utilization > r.Utilization {
		return other
	}
	return r
}

// Validate returns an error for a report that no node sends.
func (r Report) Validate() error {
	if r.Service == "" {
		return Error.New("report names no service")
	}
	if math.IsNaN(r.Utilization) || r.Utilization < 0 || r.Utilization > maxUtilization {
		return Error.New("utilization %v is out of range", r.Utilization)
	}
	return nil
}
