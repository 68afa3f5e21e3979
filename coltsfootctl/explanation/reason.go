package explanation

import "coltsfootusher.example/core/call"

// reasonDescriptions complete the sentence "because ...".
var reasonDescriptions = map[call.Reason]string{
	call.ReasonMalformedRequest:      "the request is malformed",
	call.ReasonKeyMissing:            "the request carries no key and the route is not open",
	call.ReasonKeyUnknown:            "the key belongs to no client account (it was never published or was withdrawn)",
	call.ReasonKeyExposed:            "the path, the query, a header or the body would show a key to the target",
	call.ReasonAccountNotAllowed:     "the route is not open to this client account",
	call.ReasonRouteUnknown:          "no published route matches the path",
	call.ReasonRouteClosed:           "the active preset closes the route",
	call.ReasonLookupsClosed:         "the active preset admits no lookups",
	call.ReasonHeaderTooLarge:        "the headers are longer than maxHeaderBytes",
	call.ReasonBodyTooLarge:          "the body is longer than maxRequestBodyBytes",
	call.ReasonDeadlineExceeded:      "the deadline passed",
	call.ReasonOverRate:              "the client account has used its rate and burst",
	call.ReasonOverloaded:            "the target or its queue is full",
	call.ReasonQueueTimeout:          "the call waited longer in the queue than the preset allows",
	call.ReasonDeadlineTooClose:      "the call could not have finished before its deadline",
	call.ReasonLeaving:               "the node or its target is leaving",
	call.ReasonNoTarget:              "no target of the service may get new work",
	call.ReasonTargetDown:            "the target accepts no connections",
	call.ReasonTargetFailed:          "the connection to the target broke during the call",
	call.ReasonNodeUnreachable:       "the target's node did not answer",
	call.ReasonAnswerMismatch:        "the target's response belongs to another request",
	call.ReasonAnswerOversized:       "the target sent a response head, or responses to other requests, without end",
	call.ReasonAnswerTruncated:       "the target's response is incomplete",
	call.ReasonNotReady:              "the node has not yet read all published values",
	call.ReasonConfirmTimeout:        "the node could not confirm its published values in time",
	call.ReasonContextUnknown:        "the target used a context handle of a call that is not in flight",
	call.ReasonPoisonRequest:         "requests like this one crashed targets",
	call.ReasonSuspectElsewhere:      "a suspect of crashing targets may run only at another target of the domain",
	call.ReasonAnswerNotKept:         "the operation is done, but its answer was too large to be kept",
	call.ReasonOperationIDRequired:   "the once-only operation carries neither an operation id nor an idempotency key",
	call.ReasonOperationIDInvalid:    "the operation id or idempotency key is not valid",
	call.ReasonOperationExpired:      "the operation id has expired",
	call.ReasonOperationUnknown:      "the outcome of the operation is not known",
	call.ReasonOperationRunning:      "the operation is still running",
	call.ReasonOperationSealed:       "the operation was refused before and never runs",
	call.ReasonOperationTableFull:    "the home has no room for another operation",
	call.ReasonNonIdempotentInLookup: "a lookup must not lead to a once-only operation",
	call.ReasonCallerGone:            "the caller disconnected",
	call.ReasonInternalError:         "of an internal error",
}

// DescribeReason completes the sentence "because ..." for a reason.
func DescribeReason(reason call.Reason) string {
	if meaning, ok := reasonDescriptions[reason]; ok {
		return meaning
	}
	return "of a reason that this version of the command does not know"
}
