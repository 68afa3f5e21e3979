package preset

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/strictjson"
)

// Error is the class of errors about presets.
var Error = errs.Class("preset")

// Policy says whether overload control is applied.
type Policy string

// The policies of a preset.
const (
	// On applies admission control, limits and budgets.
	On Policy = "on"
	// Off forwards requests round robin with simple retries, without load shedding or limits.
	Off Policy = "off"
)

// Preset is a named set of overload control parameters.
type Preset struct {
	// RetryAllowance is the number of attempts beyond the first, over an entire call chain.
	RetryAllowance int `json:"retryAllowance"`
	// RetryBudgetPercent limits a node's retries to a percentage of its successful calls.
	RetryBudgetPercent float64 `json:"retryBudgetPercent"`
	// QueueLimit limits the number of calls that wait at a gate.
	QueueLimit int `json:"queueLimit"`
	// QueueTimeoutMs limits the time that a call waits at a gate.
	QueueTimeoutMs clock.Millis `json:"queueTimeoutMs"`
	// DefaultDeadlineMs limits the duration of a call for which neither the caller nor the route sets a deadline.
	DefaultDeadlineMs clock.Millis `json:"defaultDeadlineMs"`
	// ClosedRoutes lists the prefixes of the routes on which all calls are refused.
	ClosedRoutes []string `json:"closedRoutes,omitempty"`
	// LookupsAdmitted is false if all lookups are refused, for maintenance.
	LookupsAdmitted bool   `json:"lookupsAdmitted"`
	Policy          Policy `json:"policy"`
}

// Section is the published value "presets".
type Section struct {
	// Active is the name of the preset in force.
	Active  string            `json:"active"`
	Presets map[string]Preset `json:"presets"`
}

// Decode parses and validates the published value.
func Decode(data json.RawMessage) (Section, error) {
	return strictjson.Decode[Section](data, &Error)
}

// ActivePreset returns the active preset.
func (s Section) ActivePreset() Preset {
	return s.Presets[s.Active]
}

// Validate reports the first preset that is out of range, or an active name that is not defined.
func (s Section) Validate() error {
	if _, ok := s.Presets[s.Active]; !ok {
		return Error.New("active names the preset %q, which is not defined", s.Active)
	}
	for name, p := range s.Presets {
		if err := p.Validate(); err != nil {
			return Error.New("preset %q: %v", name, err)
		}
	}
	return nil
}

// Validate reports the first field that is out of range.
func (p Preset) Validate() error {
	if p.RetryAllowance < 0 {
		return Error.New("retryAllowance must not be negative, got %d", p.RetryAllowance)
	}
	if p.RetryBudgetPercent < 0 || p.RetryBudgetPercent > 100 {
		return Error.New("retryBudgetPercent must be from 0 to 100, got %v", p.RetryBudgetPercent)
	}
	if p.QueueLimit < 0 {
		return Error.New("queueLimit must not be negative, got %d", p.QueueLimit)
	}
	if p.QueueTimeoutMs < 0 {
		return Error.New("queueTimeoutMs must not be negative, got %d", p.QueueTimeoutMs)
	}
	if p.DefaultDeadlineMs < 1 {
		return Error.New("defaultDeadlineMs must be at least 1, got %d", p.DefaultDeadlineMs)
	}
	if p.Policy != On && p.Policy != Off {
		return Error.New("policy must be %q or %q, got %q", On, Off, p.Policy)
	}
	return nil
}

// ClosesRoute reports whether the route with this prefix is closed.
func (p Preset) ClosesRoute(prefix string) bool {
	return slices.ContainsFunc(p.ClosedRoutes, func(closed string) bool {
		return strings.TrimSuffix(closed, "/") == strings.TrimSuffix(prefix, "/")
	})
}
