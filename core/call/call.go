package call

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/route"
)

// Call is the context that accompanies a request from node to node.
type Call struct {
	// RequestID identifies the root call and all inner calls made because of it.
	RequestID string
	// Account is the id of the client account for which the request runs; empty on open routes.
	Account string
	Service string
	// Route is the prefix of the route of this hop.
	Route  string
	Class  route.Class
	Method string
	// Path is the escaped path with the query.
	Path string
	// Depth is 0 for a root call and grows by one for each inner call.
	Depth int
	// TimeoutMs is the time that the caller still waits.
	TimeoutMs clock.Millis
	// RetryAllowance is the number of retries that the receiver and the calls below it may still make.
	RetryAllowance int
	// Attempt is 0 for the first attempt of this hop.
	Attempt int
	// OperationID identifies a once-only operation; empty for lookups.
	OperationID string
	// InNonIdempotentOperation is true for inner calls made while a once-only operation runs; they have the priority of the
	// operation.
	InNonIdempotentOperation bool
	// Fingerprint identifies requests with the same content, to recognise requests that crash targets.
	Fingerprint uint64
	// Crashes are those that the sender knows of a suspect request.
	Crashes []poison.Crash
}

// Result is what a gate reports next to the target's response.
type Result struct {
	// Reason is empty if the target answered.
	Reason Reason
	// RunStatus says whether the target can have received the request.
	RunStatus RunStatus
	// RetryAfterMs tells the caller when to try again; 0 means no advice.
	RetryAfterMs clock.Millis
	// RetryAllowanceLeft is the part of the call's allowance that was not used.
	RetryAllowanceLeft int
	// Load is the load of the answering gate.
	Load Load
	// Outcome is the outcome of a once-only operation; empty for lookups.
	Outcome Outcome
	// Node and Incarnation identify the answering process.
	Node        string
	Incarnation uint64
	// Crashes are those that the gate knows of a suspect request.
	Crashes []poison.Crash
}

// Load is a gate's report of its own state.
type Load struct {
	Running int
	Waiting int
	// Limit is the number of calls that the gate runs at a time.
	Limit int
	// WaitMs is the expected time in the queue.
	WaitMs clock.Millis
	// Leaving is true when the gate takes no new work.
	Leaving bool
}

// RunStatus says whether a target can have received a request.
type RunStatus string

// The values of Run.
const (
	// NotRun means that no target received the request.
	NotRun RunStatus = "notRun"
	// MaybeRun means that a target may have received the request.
	MaybeRun RunStatus = "maybeRun"
	// WasRun means that a target answered the request.
	WasRun RunStatus = "wasRun"
)

// Outcome is what is known of a once-only operation.
type Outcome string

// The outcomes of once-only operations.
const (
	// OutcomeDone means that the target has answered the operation.
	OutcomeDone Outcome = "done"
	// OutcomeNotRun means that the operation was not executed and never will be.
	OutcomeNotRun Outcome = "notRun"
	// OutcomeUnknown means that the operation may have been executed.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeRunning means that the target is executing the operation.
	OutcomeRunning Outcome = "running"
)
