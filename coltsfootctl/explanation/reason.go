package explanation

import "coltsfootusher.example/core/call"

// reasonDescriptions are clauses that follow "because".
var reasonDescriptions = map[call.Reason]string{
	call.ReasonMalformedRequest:      "the request is malformed",
	call.ReasonKeyMissing:            "the request carries no key and the route is not open",
	call.ReasonKeyUnknown:            "the key belongs to no client account (it was never published or was withdrawn)",
	call.ReasonKeyExposed:            "the path, the query, a header or the body would reveal a key to the target",
	call.ReasonAccountNotAllowed:     "the route is not open to this client account",
	call.ReasonRouteUnknown:          "no published route matches the path",
	call.ReasonRouteClosed:           "the active preset closes the route",
	call.ReasonLookupsClosed:         "the active preset admits no lookups",
	call.ReasonHeaderTooLarge:        "the headers are longer than maxHeaderBytes",
	call.ReasonBodyTooLarge:          "the body is longer than maxRequestBodyBytes",
	call.ReasonDeadlineExceeded:      "the deadline passed",
	call.ReasonOverRate:              "the client account has used up its rate and burst",
	call.ReasonOverloaded:            "the target or its queue is full",
	call.ReasonTargetLimited:         "the target names a limit on its requests per second, and the call would have waited too long",
	call.ReasonQueueTimeout:          "the call waited longer in the queue than the preset allows",
	call.ReasonDeadlineTooClose:      "the call could not finish before its deadline",
	call.ReasonLeaving:               "the node or its target is leaving",
	call.ReasonNoTarget:              "no target of the service accepts new requests",
	call.ReasonDomainEvacuated:       "operators have evacuated the target's failure domain",
	call.ReasonTargetDown:            "the target does not accept connections",
	call.ReasonTargetFailed:          "the connection to the target broke during the call",
	call.ReasonNodeUnreachable:       "the target's node did not answer",
	call.ReasonAnswerMismatch:        "the target's response belongs to another request",
	call.ReasonAnswerOversized:       "the target sent a response header, or responses to other requests, of unlimited length",
	call.ReasonAnswerTruncated:       "the target's response is incomplete",
	call.ReasonNotReady:              "the node has not yet read all published values",
	call.ReasonConfirmTimeout:        "the node could not confirm its published values in time",
	call.ReasonContextUnknown:        "the target used a context handle of a call that is not in flight",
	call.ReasonPoisonRequest:         "requests like this one crashed targets",
	call.ReasonSuspectElsewhere:      "a request suspected of crashing targets may run only at another target of the failure domain",
	call.ReasonAnswerNotKept:         "the operation is done, but its response was too large to be stored",
	call.ReasonOperationIDRequired:   "the non-idempotent operation has neither an operation id nor an idempotency key",
	call.ReasonOperationIDInvalid:    "the operation id or idempotency key is not valid",
	call.ReasonOperationExpired:      "the operation id has expired",
	call.ReasonOperationUnknown:      "the outcome of the operation is not known",
	call.ReasonOperationRunning:      "the operation is still running",
	call.ReasonOperationSealed:       "the operation was refused earlier and will never run",
	call.ReasonOperationTableFull:    "the operation table of the node responsible for the operation is full",
	call.ReasonNonIdempotentInLookup: "a lookup must not call a non-idempotent operation",
	call.ReasonCallerGone:            "the caller disconnected",
	call.ReasonInternalError:         "of an internal error",
}

// DescribeReason returns a clause that follows "because".
func DescribeReason(reason call.Reason) string {
	if description, ok := reasonDescriptions[reason]; ok {
		return description
	}
	return "of a reason that is unknown to this version of coltsfootctl"
}
