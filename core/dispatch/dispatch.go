package dispatch

import (
	"github.com/segmentio/encoding/json"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/bottleneck"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/targetstatus"
)

// Error is the class of errors about malformed contexts and replies.
var Error = errs.Class("dispatch")

// Headers of the requests and responses between two nodes.
const (
	ContextHeader = "Coltsfoot-Dispatch"
	ReplyHeader   = "Coltsfoot-Dispatch-Reply"
)

// maxNameBytes limits each name in a context, so that nodes remember little of forged requests.
const maxNameBytes = 1024

// Context describes a request that the node which accepted it sends to the node beside the target.
type Context struct {
	RequestID string `json:"id"`
	// Sender is the incarnation of the node that accepted the request.
	Sender uint64 `json:"sender,string,omitempty"`
	// Target is the id of the target that the sender has chosen; no other target may run the request.
	Target  string `json:"target"`
	Service string `json:"service"`
	// Route is the name of the route, for logs and for estimates of service times.
	Route string      `json:"route"`
	Class route.Class `json:"class"`
	// Account is the client account; it is empty on open routes and for inner calls.
	Account string `json:"account,omitempty"`
	// Caller is the service of the VM on which the request began.
	Caller string `json:"caller,omitempty"`
	// Priority is the rank of the request; 0 is the highest.
	Priority int `json:"priority,omitempty"`
	// Inner is true for a call that a target makes while it runs another request.
	Inner bool `json:"inner,omitempty"`
	// TimeoutMs is the time for which the caller still waits.
	TimeoutMs clock.Millis `json:"timeoutMs"`
	// Attempt is 0 for the first attempt.
	Attempt int `json:"attempt,omitempty"`
	// Resent is true if the sender has sent this request to the same target before.
	Resent bool `json:"resent,omitempty"`
	// Repeated is the probability that the request is a retry, or an inner call of one.
	Repeated float64 `json:"repeated,omitempty"`
	// TargetStatus is what the sender has learned of the target's statements about itself, in case the node beside the target has
	// restarted since; nil if it knows of none.
	TargetStatus *targetstatus.Status `json:"targetStatus,omitempty"`
	// ColdPerSecond is the published allowance of cold targets of the service, for a node that has restarted and has no published
	// values yet.
	ColdPerSecond float64 `json:"coldPerSecond,omitempty"`
}

// Validate returns an error for the first field that is missing or out of range.
func (c Context) Validate() error {
	switch {
	case c.Target == "" || c.Service == "":
		return Error.New("context lacks a target or service")
	case c.hasLongName():
		return Error.New("context has a name of more than %d bytes", maxNameBytes)
	case c.Class != route.Lookup && c.Class != route.NonIdempotent:
		return Error.New("context has the unknown class %q", c.Class)
	case c.TimeoutMs < 0 || c.Attempt < 0:
		return Error.New("context has a negative timeout or attempt")
	case c.Repeated < 0 || c.Repeated > 1:
		return Error.New("context has the probability %v", c.Repeated)
	case c.ColdPerSecond < 0:
		return Error.New("context has a negative allowance of cold targets")
	case c.TargetStatus != nil:
		return Error.Wrap(c.TargetStatus.Validate())
	}
	return nil
}

func (c Context) hasLongName() bool {
	return max(len(c.Target), len(c.Service), len(c.Route), len(c.Account), len(c.Caller)) > maxNameBytes
}

// Reply is the node's report about a request. It accompanies the response of the target if there is one.
type Reply struct {
	// Reason is the reason why there is no response of the target; it is empty if the target answered.
	Reason call.Reason `json:"reason,omitempty"`
	// Run tells whether the target may have received the request.
	Run call.RunStatus `json:"run"`
	// RetryAfterMs is the time after which the request is expected to find room; 0 means that nothing is known.
	RetryAfterMs clock.Millis `json:"retryAfterMs,omitempty"`
	// ShedByTarget is true if the target itself rejected the request.
	ShedByTarget bool `json:"shedByTarget,omitempty"`
	// InnerRefused is true if the target failed the request because one of its inner calls was refused for lack of capacity.
	InnerRefused bool `json:"innerRefused,omitempty"`
	// TargetMs is the time that the target took for the request.
	TargetMs float64   `json:"targetMs,omitempty"`
	Load     call.Load `json:"load"`
	// Bottleneck is the most utilized service that the inner calls of the target use; nil if none of them is short of capacity.
	Bottleneck *bottleneck.Report `json:"bottleneck,omitempty"`
	// TargetStatus is what the target last stated about itself; nil if it states nothing.
	TargetStatus *targetstatus.Status `json:"targetStatus,omitempty"`
	// ColdMs is the time for which the target is expected to stay cold; 0 if it is warm.
	ColdMs clock.Millis `json:"coldMs,omitempty"`
}

// OK reports whether the target answered.
func (r Reply) OK() bool {
	return r.Reason == ""
}

// Validate returns an error for a reply that contradicts itself.
func (r Reply) Validate() error {
	if r.Run != call.NotRun && r.Run != call.MaybeRun && r.Run != call.WasRun {
		return Error.New("reply has the unknown run state %q", r.Run)
	}
	if r.Reason == "" && r.Run != call.WasRun {
		return Error.New("reply has neither a reason nor the run state of a request that the target ran")
	}
	if r.ColdMs < 0 {
		return Error.New("reply has a negative warm-up time")
	}
	if r.Bottleneck != nil {
		if err := r.Bottleneck.Validate(); err != nil {
			return Error.Wrap(err)
		}
	}
	if r.TargetStatus != nil {
		return Error.Wrap(r.TargetStatus.Validate())
	}
	return nil
}

// ChainReport returns what the reply says about the utilization of the service that was asked, and of those behind it.
func (r Reply) ChainReport(service string) bottleneck.Report {
	report := bottleneck.NewReport(service, r.Load.Running, r.Load.Waiting, r.Load.Limit)
	if r.Bottleneck != nil {
		report = report.Worse(*r.Bottleneck)
	}
	return report
}

// validator is a message that checks itself when it is decoded.
type validator interface {
	Validate() error
}

// Encode returns the header value of a context or reply.
func Encode[T validator](v T) (string, error) {
	raw, err := json.Marshal(v)
	return string(raw), Error.Wrap(err)
}

// Decode parses a header value and validates the message.
func Decode[T validator](header string) (T, error) {
	var v T
	if err := json.Unmarshal([]byte(header), &v); err != nil {
		return v, Error.Wrap(err)
	}
	return v, v.Validate()
}
