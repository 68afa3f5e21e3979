package service

import (
	"encoding/json"
	"slices"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/strictjson"
)

// Error is the class of errors about services.
var Error = errs.Class("service")

// Service is a service of the call graph with the capacity of its targets.
type Service struct {
	Name string `json:"name"`
	// SlotsPerTarget is the number of requests that one target runs concurrently.
	SlotsPerTarget int `json:"slotsPerTarget"`
	// ConnectionsPerTarget is the number of connections that one target accepts.
	ConnectionsPerTarget int `json:"connectionsPerTarget"`
	// ColdStartMs is the time after its start in which a target reaches full speed.
	ColdStartMs clock.Millis `json:"coldStartMs,omitempty"`
	// FailureDomains are the domains in which the service has targets; empty means all.
	FailureDomains []string `json:"failureDomains,omitempty"`
	// HealthPath is the path of the targets' health check, or empty if they have none.
	HealthPath string `json:"healthPath,omitempty"`
	// WarmupMs is the time after its start for which a target is cold.
	WarmupMs clock.Millis `json:"warmupMs,omitempty"`
	// ColdPerSecond is the number of requests per second that a cold target tolerates; 0 means no limit.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
}

// Section is the published value "services".
type Section struct {
	Services []Service `json:"services"`
	// SeatsPerDomain is the number of seats into which a failure domain's share of a limit is split.
	SeatsPerDomain int `json:"seatsPerDomain"`
	// FailureDomains are all failure domains of the fleet.
	FailureDomains []string `json:"failureDomains"`
}

// Decode parses and validates the published value.
func Decode(data json.RawMessage) (Section, error) {
	return strictjson.Decode[Section](data, &Error)
}

// Validate returns an error for the first service that is invalid, listed twice or in an unknown failure domain.
func (s Section) Validate() error {
	if len(s.FailureDomains) == 0 {
		return Error.New("failureDomains must not be empty")
	}
	if s.SeatsPerDomain < 1 {
		return Error.New("seatsPerDomain must be at least 1, got %d", s.SeatsPerDomain)
	}
	if slices.Contains(s.FailureDomains, "") {
		return Error.New("failureDomains must not contain an empty name")
	}
	sorted := slices.Sorted(slices.Values(s.FailureDomains))
	if len(slices.Compact(sorted)) != len(s.FailureDomains) {
		return Error.New("failureDomains lists a failure domain twice")
	}
	names := make(map[string]bool, len(s.Services))
	for _, svc := range s.Services {
		if err := svc.Validate(); err != nil {
			return err
		}
		if names[svc.Name] {
			return Error.New("service %q is listed twice", svc.Name)
		}
		names[svc.Name] = true
		for _, domain := range svc.FailureDomains {
			if !slices.Contains(s.FailureDomains, domain) {
				return Error.New("service %q: unknown failure domain %q", svc.Name, domain)
			}
		}
	}
	return nil
}

// Validate returns an error for the first field that is missing or out of range.
func (s Service) Validate() error {
	if s.Name == "" {
		return Error.New("service without a name")
	}
	if s.SlotsPerTarget < 1 {
		return Error.New("service %q: slotsPerTarget must be at least 1, got %d", s.Name, s.SlotsPerTarget)
	}
	if s.ConnectionsPerTarget < 1 {
		return Error.New("service %q: connectionsPerTarget must be at least 1, got %d", s.Name, s.ConnectionsPerTarget)
	}
	if s.ColdStartMs < 0 {
		return Error.New("service %q: coldStartMs must not be negative, got %d", s.Name, s.ColdStartMs)
	}
	return nil
}
