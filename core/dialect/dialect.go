package dialect

import (
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// CallerRequest is what a caller says about its request.
type CallerRequest struct {
	// RequestID identifies one attempt of the caller; empty if it gave none.
	RequestID string
	// TimeoutMs is the time that the caller waits; 0 if it did not say.
	TimeoutMs clock.Millis
	// Key is the caller's key; empty if there is none or it can't be read.
	Key string
	// HasKey is true if the caller showed a key, readable or not.
	HasKey bool
}

// TargetRequest is what a target is told about a request.
type TargetRequest struct {
	RequestID string
	// Target is the id of the target that must run the request.
	Target string
	// Account is the client account whose key came with the request; empty if none did.
	Account string
	// Caller is the service of the VM at which the request began.
	Caller    string
	TimeoutMs clock.Millis
}

// TargetAnswer is what a target says in the headers of its answer.
type TargetAnswer struct {
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is true if another target than the expected one answered; it did not run the request.
	WrongTarget bool
	// FromTarget is true if the answer bears the mark of a target.
	FromTarget bool
	// Load is the target's own report, or nil.
	Load *call.Load
}
