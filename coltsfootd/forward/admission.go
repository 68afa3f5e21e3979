package forward

import (
	"context"
	"errors"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/bottleneck"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/intake"
)

const (
	// overloadRetryAfterMs is the retry delay sent to callers while the services behind a route are overloaded,
	// overRateRetryAfterMs that for an account over its rate. Callers that retry sooner are mostly refused again.
	overloadRetryAfterMs clock.Millis = 600
	overRateRetryAfterMs clock.Millis = 400
)

// Limiter takes tokens from the client account's fleet-wide rate limit.
type Limiter interface {
	Admit(ctx context.Context, a account.Account, urgent bool) (ok bool, retryAfterMs clock.Millis)
	// Refund returns the token of a request that did not run.
	Refund(a account.Account, urgent bool)
}

// LookupThrottle refuses lookups early while the services behind their route are overloaded.
type LookupThrottle interface {
	Admit(c intake.Call, now clock.Millis) bool
	Done(route string, outcome intake.Outcome, now clock.Millis)
}

// ShortageThrottle limits lookups while a service that more important requests need is short of capacity.
type ShortageThrottle interface {
	// Share returns the share of such requests that may be admitted.
	Share(r bottleneck.Request, now clock.Millis) float64
	Observe(r bottleneck.Request, o bottleneck.Outcome, now clock.Millis)
}

// Sockets reports whether file descriptors for connections are running out.
type Sockets interface {
	NearlyExhausted() bool
}

// Admission decides which requests are sent on from the node at which they originate.
type Admission struct {
	Clock    clock.Clock
	Sockets  Sockets
	Limiter  Limiter
	Throttle LookupThrottle
	// Shortage is nil if lookups are not limited in favor of more important requests.
	Shortage ShortageThrottle
}

// AdmissionRequest is a request to be admitted.
type AdmissionRequest struct {
	Account account.Account
	// Limited is true if the rate limit of the account applies.
	Limited bool
	// Urgent requests get tokens first when there are too few.
	Urgent bool
	// Throttled is true for lookups of callers, which are refused first under overload.
	Throttled bool
	// Lookup is what the throttle counts a throttled request as. All accounts of a route are counted together, because one
	// account sends too few requests through one node to judge by.
	Lookup intake.Call
	// Chain identifies the request for the shortage throttle.
	Chain bottleneck.Request
	// Inner is true for calls of targets, which are not throttled.
	Inner bool
}

// Admit returns the reason for which the request is refused, or "", and the retry delay. The rate limit is checked before the
// throttle, so that an account over its rate leaves the admitted share of lookups to the others.
func (a Admission) Admit(ctx context.Context, r AdmissionRequest) (call.Reason, clock.Millis) {
	if r.Throttled && a.Sockets.NearlyExhausted() {
		return call.ReasonOverloaded, overloadRetryAfterMs
	}
	if r.Limited {
		if ok, retryAfter := a.Limiter.Admit(ctx, r.Account, r.Urgent); !ok {
			if errors.Is(ctx.Err(), context.DeadlineExceeded) {
				return call.ReasonDeadlineExceeded, 0
			}
			if ctx.Err() != nil {
				return call.ReasonCallerGone, 0
			}
			return call.ReasonOverRate, max(retryAfter, overRateRetryAfterMs)
		}
	}
	if r.Throttled && !a.admitLookup(r) {
		// The token is not refunded. Otherwise an account could try the throttle far more often than its rate allows.
		return call.ReasonOverloaded, overloadRetryAfterMs
	}
	return "", 0
}

// admitLookup reports whether the throttles admit a lookup.
func (a Admission) admitLookup(r AdmissionRequest) bool {
	now := a.Clock.Now()
	if a.Shortage != nil {
		r.Lookup.MaxShare = a.Shortage.Share(r.Chain, now)
	}
	return a.Throttle.Admit(r.Lookup, now)
}

// Done records the result of an admitted request that was sent to the service.
func (a Admission) Done(r AdmissionRequest, service string, result Result) {
	if a.Shortage != nil && !r.Inner {
		a.Shortage.Observe(r.Chain, bottleneck.Outcome{
			Report: result.Reply.ChainReport(service), Short: result.Reply.InnerRefused,
		}, a.Clock.Now())
	}
	if r.Throttled {
		a.Throttle.Done(r.Lookup.Route, throttleOutcome(result), a.Clock.Now())
	}
	if r.Limited && result.Reply.Run == call.NotRun {
		a.Limiter.Refund(r.Account, r.Urgent)
	}
}

// failedForOverload reports whether the request failed because it, or a call that its target made, was refused for lack of
// capacity. A target that rejects requests although its gate lets no more through than it has slots does not lack capacity:
// sending it fewer requests would not make it accept more.
func failedForOverload(r Result) bool {
	if r.Reply.ShedByTarget {
		return false
	}
	return r.Reply.InnerRefused || r.Reply.Reason.IsOverload()
}

// throttleOutcome returns the result of a lookup as the throttle counts it.
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
