package preview

import (
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

// Path is the path of previews at the operator address; its parameters are method, host, path and body, the size of the body in
// bytes.
const Path = "/route"

// KeyHeader is the header with the key of the caller whose request is previewed. A key in the path would end up in logs.
const KeyHeader = "Coltsfoot-Preview-Key"

// Answer tells where a request would be sent now. Rate limits and the throttle of lookups are not checked, because that would
// take tokens.
type Answer struct {
	Node string `json:"node"`
	// Reason is the reason for which the request would be refused before a target is chosen; empty if it would not.
	Reason       call.Reason  `json:"reason,omitempty"`
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	Route        string       `json:"route,omitempty"`
	Class        route.Class  `json:"class,omitempty"`
	Account      string       `json:"account,omitempty"`
	Priority     int          `json:"priority"`
	Inner        bool         `json:"inner,omitempty"`
	TimeoutMs    clock.Millis `json:"timeoutMs,omitempty"`
	// PolicyAgeMs is the time since the policy was confirmed; -1 if it never was.
	PolicyAgeMs clock.Millis `json:"policyAgeMs"`
	Services    []Service    `json:"services,omitempty"`
}

// Service is one service of the route.
type Service struct {
	Service string `json:"service"`
	// Weight is the weight of the service among those of the route.
	Weight float64 `json:"weight"`
	// ByCost is true if the target is chosen by expected completion time.
	ByCost bool `json:"byCost"`
	// CostMs is the expected slot time at the usual speed, HighMs its 90th percentile, and CostAgeMs the time since the last sample
	// of the route; -1 if there is none.
	CostMs    float64      `json:"costMs,omitempty"`
	HighMs    float64      `json:"highMs,omitempty"`
	CostAgeMs clock.Millis `json:"costAgeMs"`
	// Reason is set if no target is usable now.
	Reason     call.Reason `json:"reason,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is one listed target of a service.
type Candidate struct {
	Target        string `json:"target"`
	FailureDomain string `json:"failureDomain"`
	// Excluded says why the target gets no request; empty if it may get one.
	Excluded string `json:"excluded,omitempty"`
	// Share is the share of a number of choices that went to the target. Each choice compares two random targets of the own failure
	// domain and two of others.
	Share float64 `json:"share"`
	// WaitMs is the expected wait, RunMs the expected slot time, and DelayMs what a target of another failure domain must be better
	// by; the choice compares their sum, in which the wait counts several times if the choice is by cost.
	WaitMs  float64 `json:"waitMs"`
	RunMs   float64 `json:"runMs,omitempty"`
	DelayMs float64 `json:"delayMs"`
	// OutstandingMs is the expected remaining slot time of the target's calls.
	OutstandingMs   float64 `json:"outstandingMs,omitempty"`
	SlownessPercent int     `json:"slownessPercent,omitempty"`
	// InFlight is the number of calls of this node at the target; Load is the last reported load, LoadAgeMs its age or -1.
	InFlight  int          `json:"inFlight"`
	Load      call.Load    `json:"load"`
	LoadAgeMs clock.Millis `json:"loadAgeMs"`
}
