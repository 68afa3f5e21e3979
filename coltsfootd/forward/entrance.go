package forward

import (
	"context"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/intake"
)

const (
	// overloadRetryAfterMs is the advice while the services behind a route are short of room, overRateRetryMs that for an
	// account beyond its rate. Callers that return sooner are mostly refused again.
	overloadRetryAfterMs clock.Millis = 600
	overRateRetryAfterMs clock.Millis = 400
)

// Limiter takes one token of the client account's fleet-wide rate.
type Limiter interface {
	Admit(ctx context.Context, a account.Account, urgent bool) (ok bool, retryAfterMs clock.Millis)
	// Refund gives back the token of a request that did not run.
	Refund(a account.Account, urgent bool)
}

// LookupThrottle refuses lookups early while the services behind their route are short of room.
type LookupThrottle interface {
	Admit(c intake.Call, now clock.Millis) bool
	Done(route string, end intake.Outcome, now clock.Millis)
}

// Sockets says whether connections run short.
type Sockets interface {
	NearlyExhausted() bool
}

// Admission decides which requests are sent on from the node at which they begin.
type Admission struct {
	Clock    clock.Clock
	Sockets  Sockets
	Limiter  Limiter
	Throttle LookupThrottle
}

// AdmissionRequest is a request that asks to be sent on.
type AdmissionRequest struct {
	Account account.Account
	// Limited is true if the rate of the account applies.
	Limited bool
	// Urgent requests are served first when tokens are short.
	Urgent bool
	// Throttled is true for lookups of callers, which are refused first while room is short.
	Throttled bool
	// Lookup is how the intake counts a throttled request. All accounts of a route are counted together: one account sends
	// too few requests through one node to judge by.
	Lookup intake.Call
}

// Admit returns why the request is not sent on, or "", with the advice when to return. The rate comes before the share of
// lookups, so that an account beyond its rate leaves the share to the others.
func (e Admission) Admit(ctx context.Context, r AdmissionRequest) (call.Reason, clock.Millis) {
	if r.Throttled && e.Sockets.NearlyExhausted() {
		return call.ReasonOverloaded, overloadRetryAfterMs
	}
	if r.Limited {
		if ok, retryAfter := e.Limiter.Admit(ctx, r.Account, r.Urgent); !ok {
			if ctx.Err() != nil {
				return call.ReasonCallerGone, 0
			}
			return call.ReasonOverRate, max(retryAfter, overRateRetryAfterMs)
		}
	}
	if r.Throttled && !e.Throttle.Admit(r.Lookup, e.Clock.Now()) {
		// The token stays spent: an account that got it back could ask for the share far more often than its rate allows.
		return call.ReasonOverloaded, overloadRetryAfterMs
	}
	return "", 0
}

// Done takes the end of a request that was sent on.
func (e Admission) Done(r AdmissionRequest, result Result) {
	if r.Throttled {
		e.Throttle.Done(r.Lookup.Route, throttleOutcome(result), e.Clock.Now())
	}
	if r.Limited && result.Reply.Run == call.NotRun {
		e.Limiter.Refund(r.Account, r.Urgent)
	}
}

// failedForOverload reports whether the request failed because it, or a call that its target made, found no room. A target that
// rejects requests although its gate lets no more through than it has slots is not short of room: sending it less would
// not make it accept more.
func failedForOverload(r Result) bool {
	if r.Reply.ShedByTarget {
		return false
	}
	return r.Reply.InnerRefused || r.Reply.Reason.IsOverload()
}

// throttleOutcome says how a lookup ended for the share of lookups that is sent on.
func throttleOutcome(r Result) intake.Outcome {
	switch {
	case !failedForOverload(r):
		return intake.Accepted
	case r.Reply.InnerRefused:
		return intake.RefusedDownstream
	default:
		return intake.Refused
	}
}
