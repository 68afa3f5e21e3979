package route

import (
	"encoding/json"
	"slices"
	"strings"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/strictjson"
)

// Error is the error class of this package.
var Error = errs.Class("route")

// Class tells whether the requests of a route may be run more than once.
type Class string

// The classes of requests.
const (
	// Lookup requests are idempotent.
	Lookup Class = "lookup"
	// NonIdempotent requests must be run at most once. The published value is "onceOnly".
	NonIdempotent Class = "onceOnly"
)

// Route maps the requests below a path prefix to a service.
type Route struct {
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
	Class   Class  `json:"class"`
	// Open routes can be called without an API key.
	Open bool `json:"open,omitempty"`
	// Accounts are the IDs of the client accounts that may use the route; empty means all.
	Accounts []string `json:"accounts,omitempty"`
	// TimeoutMs limits the duration of a call on this route; 0 means the preset's default deadline.
	TimeoutMs clock.Millis `json:"timeoutMs,omitempty"`
	// Host restricts the route to requests for this host; empty means all hosts.
	Host string `json:"host,omitempty"`
	// Split distributes the requests among services by weight. If it is not empty, it replaces Service.
	Split []WeightedService `json:"split,omitempty"`
	// MaxTargets is the largest number of targets to which one request may be sent; 0 means the preset's allowance.
	MaxTargets int `json:"maxTargets,omitempty"`
	// Priority is the priority of the route's requests; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// ObjectiveMs is the latency objective of the route; 0 means none.
	ObjectiveMs clock.Millis `json:"objectiveMs,omitempty"`
	// Blocked is true if the published row of the route could not be read. All requests that match the route are refused.
	Blocked bool `json:"blocked,omitempty"`
}

// WeightedService is a service of a split with its weight relative to the others.
type WeightedService struct {
	Service string  `json:"service"`
	Weight  float64 `json:"weight"`
}

// Section is the published value "routes".
type Section struct {
	Routes []Route `json:"routes"`
}

// Decode parses and validates the published value.
func Decode(data json.RawMessage) (Section, error) {
	return strictjson.Decode[Section](data, &Error)
}

// Validate returns an error for the first route that is invalid or listed twice.
func (s Section) Validate() error {
	prefixes := make(map[string]bool, len(s.Routes))
	for _, r := range s.Routes {
		if err := r.Validate(); err != nil {
			return err
		}
		if prefixes[r.Prefix] {
			return Error.New("prefix %q is listed twice", r.Prefix)
		}
		prefixes[r.Prefix] = true
	}
	return nil
}

// Validate returns an error for the first field that is missing or out of range.
func (r Route) Validate() error {
	if !strings.HasPrefix(r.Prefix, "/") {
		return Error.New("prefix %q must start with a slash", r.Prefix)
	}
	if r.Service == "" {
		return Error.New("prefix %q: service is missing", r.Prefix)
	}
	if r.Class != Lookup && r.Class != NonIdempotent {
		return Error.New("prefix %q: class must be %q or %q, got %q", r.Prefix, Lookup, NonIdempotent, r.Class)
	}
	if r.Open && len(r.Accounts) > 0 {
		return Error.New("prefix %q: an open route must not list accounts", r.Prefix)
	}
	if r.TimeoutMs < 0 {
		return Error.New("prefix %q: timeoutMs must not be negative, got %d", r.Prefix, r.TimeoutMs)
	}
	return nil
}

// AllowsAccount reports whether the client account may call the route.
func (r Route) AllowsAccount(accountID string) bool {
	return r.Open || len(r.Accounts) == 0 || slices.Contains(r.Accounts, accountID)
}

// MatchesPath reports whether path is equal to the prefix or below it.
func (r Route) MatchesPath(path string) bool {
	if !strings.HasPrefix(path, r.Prefix) {
		return false
	}
	rest := path[len(r.Prefix):]
	return rest == "" || strings.HasSuffix(r.Prefix, "/") || rest[0] == '/'
}
