package caller

import (
	"net/http"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of errors of the stand-in.
var Error = errs.Class("caller")

// Kind says how a request identifies itself.
type Kind string

// The kinds of requests.
const (
	// Lookup requests are idempotent and carry no id.
	Lookup Kind = "lookup"
	// Issued operations carry an Operation-Id that an entry issued.
	Issued Kind = "issued"
	// OwnKey operations carry the caller's own UUIDv7 as Idempotency-Key.
	OwnKey Kind = "ownKey"
)

// Route is one kind of request in the mix.
type Route struct {
	Kind   Kind   `yaml:"kind"`
	Method string `yaml:"method"`
	Path   string `yaml:"path"`
	// Prefix is the prefix of the published route, for which ids are issued; empty means Path.
	Prefix string `yaml:"prefix,omitempty"`
	// Weight is the part of this route in the mix relative to the others.
	Weight float64 `yaml:"weight"`
	// Open routes are called without a key.
	Open bool `yaml:"open,omitempty"`
}

// Account is one client account with the rate at which it sends root calls.
type Account struct {
	ID            string  `yaml:"id"`
	Key           string  `yaml:"key"`
	RatePerSecond float64 `yaml:"ratePerSecond"`
	// Entry gets the first attempt of each call of the account; empty means that it is chosen at random.
	Entry string `yaml:"entry,omitempty"`
}

// Settings are the settings of a load; durations are in milliseconds.
type Settings struct {
	// Entries are the addresses (IP:port) of entries.
	Entries  []string  `yaml:"entries"`
	Accounts []Account `yaml:"accounts"`
	Routes   []Route   `yaml:"routes"`
	// DurationMs ends the sending; calls under way are finished.
	DurationMs int64 `yaml:"durationMs"`
	// MaxCalls bounds the root calls of the whole load.
	MaxCalls int64 `yaml:"maxCalls"`
	// MaxInFlight bounds the calls under way; arrivals beyond it are counted as omitted and not sent.
	MaxInFlight int    `yaml:"maxInFlight"`
	TimeoutMs   int64  `yaml:"timeoutMs"`
	Seed        uint64 `yaml:"seed"`
	// Retries is the number of immediate attempts after a timeout, a broken connection or a 5xx response.
	Retries int `yaml:"retries,omitempty"`
	// ClientDelayMs is the time that each direction between caller and entry takes.
	ClientDelayMs float64 `yaml:"clientDelayMs,omitempty"`
}

// Validate reports the first setting that is missing or out of range.
func (s Settings) Validate() error {
	if len(s.Entries) == 0 || len(s.Accounts) == 0 || len(s.Routes) == 0 {
		return Error.New("entries, accounts and routes must not be empty")
	}
	if s.DurationMs < 1 || s.MaxCalls < 1 || s.MaxInFlight < 1 || s.TimeoutMs < 1 {
		return Error.New("durationMs, maxCalls, maxInFlight and timeoutMs must be at least 1")
	}
	if s.Retries < 0 || s.ClientDelayMs < 0 {
		return Error.New("retries and clientDelayMs must not be negative")
	}
	for _, a := range s.Accounts {
		if a.ID == "" || !(a.RatePerSecond > 0) {
			return Error.New("account %q needs an id and a ratePerSecond greater than 0", a.ID)
		}
	}
	for _, r := range s.Routes {
		if err := r.Validate(); err != nil {
			return err
		}
	}
	return nil
}

// Validate reports the first field that is missing or out of range.
func (r Route) Validate() error {
	if r.Kind != Lookup && r.Kind != Issued && r.Kind != OwnKey {
		return Error.New("route %q: kind must be %q, %q or %q, got %q", r.Path, Lookup, Issued, OwnKey, r.Kind)
	}
	if !strings.HasPrefix(r.Path, "/") || strings.Contains(r.Path, "?") {
		return Error.New("route %q: path must start with a slash and have no query", r.Path)
	}
	if r.Method == "" || !(r.Weight > 0) {
		return Error.New("route %q: method must be set and weight greater than 0", r.Path)
	}
	if r.Open && r.Kind != Lookup {
		return Error.New("route %q: only lookups can be open", r.Path)
	}
	if r.Kind != Lookup && r.Method == http.MethodGet {
		return Error.New("route %q: once-only operations cannot use GET", r.Path)
	}
	return nil
}

func (r Route) prefix() string {
	if r.Prefix != "" {
		return r.Prefix
	}
	return r.Path
}
