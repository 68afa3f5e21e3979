package call

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/route"
)

// Call is the context that is passed along with a request from node to node.
type Call struct {
	// RequestID is shared by a root call and all inner calls that result from it.
	RequestID string
	// Account is the ID of the client account that the request belongs to; empty on open routes.
	Account string
	Service string
	// Route is the prefix of the route that matched this hop.
	Route  string
	Class  route.Class
	Method string
	// Path is the escaped path including the query.
	Path string
	// Depth is 0 for a root call and one more than the parent's for an inner call.
	Depth int
	// TimeoutMs is the remaining time that the caller will wait.
	TimeoutMs clock.Millis
	// RetryAllowance is the number of retries that the receiver and its inner calls may still make in total.
	RetryAllowance int
	// Attempt counts the attempts of this hop, starting at 0.
	Attempt int
	// OperationID is the ID of a non-idempotent operation; empty for lookups.
	OperationID string
	// InNonIdempotentOperation is true for inner calls of a non-idempotent operation. They have the operation's priority.
	InNonIdempotentOperation bool
	// Fingerprint is equal for requests with the same content. It is used to recognise requests that crash targets.
	Fingerprint uint64
	// Crashes are the target crashes that the sender attributes to a suspect request.
	Crashes []poison.Crash
}

// Result is the metadata that a gate returns along with the target's response.
type Result struct {
	// Reason is empty if the target responded.
	Reason Reason
	// RunStatus tells whether a target may have received the request.
	RunStatus RunStatus
	// RetryAfterMs is the advised delay before a retry; 0 means no advice.
	RetryAfterMs clock.Millis
	// RetryAllowanceLeft is the unused part of the call's retry allowance.
	RetryAllowanceLeft int
	// Load is the load of the responding gate.
	Load Load
	// Outcome is the outcome of a non-idempotent operation; empty for lookups.
	Outcome Outcome
	// Node and Incarnation identify the responding process.
	Node        string
	Incarnation uint64
	// Crashes are the target crashes that the gate attributes to a suspect request.
	Crashes []poison.Crash
}

// Load is the current load of a gate, as reported to callers.
type Load struct {
	Running int
	Waiting int
	// Limit is the concurrency limit of the gate.
	Limit int
	// WaitMs is the expected time in the queue for a new call.
	WaitMs clock.Millis
	// Leaving is true when the gate refuses new calls because the target or its node is shutting down.
	Leaving bool
	// WorkMs is the sum of the expected remaining slot times of the running and waiting calls, at the present speed of the target.
	WorkMs clock.Millis `json:",omitempty"`
	// SlownessPercent is how long work takes at the target now, in percent of the usual time. It is 0 if the gate does not estimate
	// the cost of requests, as gates of earlier versions.
	SlownessPercent int `json:",omitempty"`
}

// RunStatus tells whether a target may have received a request.
type RunStatus string

// The values of RunStatus.
const (
	// NotRun means that no target received the request.
	NotRun RunStatus = "notRun"
	// MaybeRun means that a target may have received the request.
	MaybeRun RunStatus = "maybeRun"
	// WasRun means that a target responded to the request.
	WasRun RunStatus = "wasRun"
)

// Outcome is the known state of a non-idempotent operation.
type Outcome string

// The outcomes of non-idempotent operations.
const (
	// OutcomeDone means that the target has responded to the operation.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the operation was not run and never will be.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the operation may or may not have been run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning means that the target is running the operation.
	OutcomeRunning Outcome = "running"
)
