package dispatch

import (
	"encoding/json"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

// Error is the class of errors about malformed contexts.
var Error = errs.Class("dispatch")

// The headers between two nodes.
const (
	ContextHeader = "Coltsfoot-Dispatch"
	ReplyHeader   = "Coltsfoot-Dispatch-Reply"
)

// Context accompanies a request from the node that accepted it to the node beside the target.
type Context struct {
	RequestID string `json:"id"`
	// Target is the id of the target that the sender chose; no other target may run the request.
	Target  string `json:"target"`
	Service string `json:"service"`
	// Route names the route of the request, for logs and estimates of service times.
	Route string      `json:"route"`
	Class route.Class `json:"class"`
	// Account is the client account, empty on open routes and for inner calls.
	Account string `json:"account,omitempty"`
	// Caller is the service of the VM at which the request began.
	Caller string `json:"caller,omitempty"`
	// Priority is the rank of the request, 0 being the highest.
	Priority int `json:"priority,omitempty"`
	// Inner is true for a call that a target makes while it runs another request.
	Inner bool `json:"inner,omitempty"`
	// TimeoutMs is the time that the caller still waits.
	TimeoutMs clock.Millis `json:"timeoutMs"`
	// Attempt is 0 for the first attempt.
	Attempt int `json:"attempt,omitempty"`
	// Repeated is the probability that the request is a repeat or a call of one.
	Repeated float64 `json:"repeated,omitempty"`
}

// Validate reports the first field that is missing or out of range.
func (c Context) Validate() error {
	switch {
	case c.Target == "" || c.Service == "":
		return Error.New("context lacks a target or service")
	case c.Class != route.Lookup && c.Class != route.NonIdempotent:
		return Error.New("context has the unknown class %q", c.Class)
	case c.TimeoutMs < 0 || c.Attempt < 0:
		return Error.New("context has a negative timeout or attempt")
	case c.Repeated < 0 || c.Repeated > 1:
		return Error.New("context has the probability %v", c.Repeated)
	}
	return nil
}

// Reply is what the node beside the target says about a request, next to the target's response if there is one.
type Reply struct {
	// Reason is empty if the target answered.
	Reason call.Reason `json:"reason,omitempty"`
	// Run says whether the target can have received the request.
	Run call.RunStatus `json:"run"`
	// RetryAfterMs is the time after which room is expected; 0 means no advice.
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// ShedByTarget is true if the target itself rejected the request.
	ShedByTarget bool `json:"shedByTarget,omitempty"`
	// InnerRefused is true if the target failed the request after a call that it made was refused for lack of room.
	InnerRefused bool `json:"innerRefused,omitempty"`
	// TargetMs is the time that the target took.
	TargetMs float64   `json:"targetMs,omitempty"`
	Load     call.Load `json:"load"`
}

// OK reports whether the target answered.
func (r Reply) OK() bool {
	return r.Reason == ""
}

// Validate reports a reply that contradicts itself.
func (r Reply) Validate() error {
	if r.Run != call.NotRun && r.Run != call.MaybeRun && r.Run != call.WasRun {
		return Error.New("reply has the unknown run state %q", r.Run)
	}
	if r.Reason == "" && r.Run != call.WasRun {
		return Error.New("reply of a target that did not run the request")
	}
	return nil
}

// validator is a message that checks itself when it is decoded.
type validator interface {
	Validate() error
}

// Encode returns the header value for a context or a reply.
func Encode[T validator](v T) (string, error) {
	raw, err := json.Marshal(v)
	return string(raw), Error.Wrap(err)
}

// Decode parses a header value and checks the message.
func Decode[T validator](header string) (T, error) {
	var v T
	if err := json.Unmarshal([]byte(header), &v); err != nil {
		return v, Error.Wrap(err)
	}
	return v, v.Validate()
}
