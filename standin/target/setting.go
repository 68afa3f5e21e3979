package target

import (
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the stand-in.
var Error = errs.Class("target")

// DistributionKind names a distribution of service times.
type DistributionKind string

// The distributions.
const (
	Constant    DistributionKind = "constant"
	Exponential DistributionKind = "exponential"
)

// Distribution describes service times.
type Distribution struct {
	Kind   DistributionKind `yaml:"kind"`
	MeanMs float64          `yaml:"meanMs"`
}

// Validate reports an unknown kind or a negative mean.
func (d Distribution) Validate() error {
	if d.Kind != Constant && d.Kind != Exponential {
		return Error.New("distribution kind must be %q or %q, got %q", Constant, Exponential, d.Kind)
	}
	if d.MeanMs < 0 {
		return Error.New("meanMs must not be negative, got %v", d.MeanMs)
	}
	return nil
}

// InnerCall is a call to a further service.
type InnerCall struct {
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
}

// Plan lists the inner calls made for requests whose path starts with Prefix.
type Plan struct {
	Prefix   string      `yaml:"prefix"`
	Parallel bool        `yaml:"parallel,omitempty"`
	Calls    []InnerCall `yaml:"calls"`
}

// Settings are the settings of one target; durations are in milliseconds.
type Settings struct {
	Name          string `yaml:"name"`
	Service       string `yaml:"service"`
	ListenAddress string `yaml:"listenAddress"`
	// AdminAddress serves the handler without the connection limit as well; empty means no second listener.
	AdminAddress string `yaml:"adminAddress,omitempty"`
	// EgressAddress is the node's address for inner calls.
	EgressAddress string `yaml:"egressAddress,omitempty"`
	// Slots is the number of requests that run at a time; a request holds its slot during its inner calls.
	Slots int `yaml:"slots"`
	// QueueLimit bounds the requests that wait for a slot; 0 means no bound. Further ones are shed.
	QueueLimit int `yaml:"queueLimit,omitempty"`
	// Shed refuses requests at once when no slot is free, instead of queueing them.
	Shed bool `yaml:"shed,omitempty"`
	// Connections is the connection limit; further connections are closed when they are accepted.
	Connections int `yaml:"connections"`
	// ConnectMs is the time that a new connection costs.
	ConnectMs   float64      `yaml:"connectMs,omitempty"`
	ServiceTime Distribution `yaml:"serviceTime"`
	Plans       []Plan       `yaml:"plans,omitempty"`
	ColdStartMs int64        `yaml:"coldStartMs,omitempty"`
	// ColdFactor multiplies service times during the cold start; 0 means 1.
	ColdFactor float64 `yaml:"coldFactor,omitempty"`
	// LateMs is the delay of requests marked "late".
	LateMs int64 `yaml:"lateMs,omitempty"`
	// JournalFile receives the journal so that it survives a killed process; empty means memory only.
	JournalFile string `yaml:"journalFile,omitempty"`
	Seed        uint64 `yaml:"seed,omitempty"`
}

// Validate reports the first setting that is missing or out of range.
func (s Settings) Validate() error {
	if s.Name == "" || s.Service == "" {
		return Error.New("name and service must be set")
	}
	if s.Slots < 1 {
		return Error.New("slots must be at least 1, got %d", s.Slots)
	}
	if s.Connections < 1 {
		return Error.New("connections must be at least 1, got %d", s.Connections)
	}
	if s.QueueLimit < 0 || s.ConnectMs < 0 || s.ColdStartMs < 0 || s.ColdFactor < 0 || s.LateMs < 0 {
		return Error.New("queueLimit, connectMs, coldStartMs, coldFactor and lateMs must not be negative")
	}
	for _, plan := range s.Plans {
		if len(plan.Calls) > 0 && s.EgressAddress == "" {
			return Error.New("plan %q has inner calls, but egressAddress is not set", plan.Prefix)
		}
	}
	return s.ServiceTime.Validate()
}

// plan returns the plan with the longest prefix of path.
func (s Settings) plan(path string) Plan {
	var best Plan
	for _, p := range s.Plans {
		if strings.HasPrefix(path, p.Prefix) && len(p.Prefix) > len(best.Prefix) {
			best = p
		}
	}
	return best
}

// Controls are the properties that tests change at run time.
type Controls struct {
	// SlowFactor multiplies all service times that begin from now on.
	SlowFactor float64 `json:"slowFactor"`
	// Draining makes the health endpoint report draining; requests are still executed and counted.
	Draining bool `json:"draining"`
	Shed     bool `json:"shed"`
	// ReportLagMs is the age of the health and load that the endpoints report, up to one minute.
	ReportLagMs int64 `json:"reportLagMs"`
	// FalseStatus replaces the reported health status if it is not empty.
	FalseStatus string `json:"falseStatus"`
	// LoadFactor multiplies the reported load, to make it misleading.
	LoadFactor float64 `json:"loadFactor"`
}

// Validate reports a factor or a lag that is out of range.
func (c Controls) Validate() error {
	if !(c.SlowFactor > 0) {
		return Error.New("slowFactor must be greater than 0, got %v", c.SlowFactor)
	}
	if c.LoadFactor < 0 || c.ReportLagMs < 0 {
		return Error.New("loadFactor and reportLagMs must not be negative")
	}
	return nil
}
