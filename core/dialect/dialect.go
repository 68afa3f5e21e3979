package dialect

import (
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/targetstatus"
)

// CallerRequest is the content of the headers of a caller's request.
type CallerRequest struct {
	// RequestID identifies one attempt of the caller; it is empty if the caller sent none.
	RequestID string
	// TimeoutMs is the time that the caller waits; 0 if the caller did not say.
	TimeoutMs clock.Millis
	// Key is the caller's API key; it is empty if there is none or it can't be read.
	Key string
	// HasKey is true if the caller sent a key, even one that can't be read.
	HasKey bool
}

// TargetRequest is the content of the headers of a request to a target.
type TargetRequest struct {
	RequestID string
	// Target is the id of the target that must run the request.
	Target string
	// Account is the client account that owns the key sent with the request; it is empty if there was no key.
	Account string
	// Caller is the service of the VM where the request originated.
	Caller    string
	TimeoutMs clock.Millis
}

// TargetAnswer is the content of the headers of a target's answer.
type TargetAnswer struct {
	// NotRun is true if the target states that it did not run the request.
	NotRun bool
	// WrongTarget is true if a target other than the requested one answered; it did not run the request.
	WrongTarget bool
	// FromTarget is true if the answer has the header that marks answers of targets.
	FromTarget bool
	// Load is the target's report of its own load, or nil.
	Load *call.Load
	// Status is what the target states about itself.
	Status targetstatus.Report
}

// HealthAnswer is the content of a target's answer to a health check.
type HealthAnswer struct {
	// Target is the id of the target that answered; it is empty if the answer names none.
	Target string
	// Healthy is true if the target considers itself healthy and does not leave.
	Healthy bool
	Status  targetstatus.Report
	// ColdMs is the time for which the target stays cold; 0 if it is warm. ColdErr is set if the target's value can't be read.
	ColdMs  clock.Millis
	ColdErr error
}
