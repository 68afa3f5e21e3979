package call

import "net/http"

// Reason is the machine-readable reason for a refusal or an error.
type Reason string

// The reasons. Each has a counter and is documented in docs/operators.md.
const (
	ReasonMalformedRequest      Reason = "malformedRequest"
	ReasonKeyMissing            Reason = "keyMissing"
	ReasonKeyUnknown            Reason = "keyUnknown"
	ReasonKeyExposed            Reason = "keyExposed"
	ReasonAccountNotAllowed     Reason = "accountNotAllowed"
	ReasonRouteUnknown          Reason = "routeUnknown"
	ReasonRouteClosed           Reason = "routeClosed"
	ReasonLookupsClosed         Reason = "lookupsClosed"
	ReasonHeaderTooLarge        Reason = "headerTooLarge"
	ReasonBodyTooLarge          Reason = "bodyTooLarge"
	ReasonDeadlineExceeded      Reason = "deadlineExceeded"
	ReasonOverRate              Reason = "overRate"
	ReasonOverloaded            Reason = "overloaded"
	ReasonQueueTimeout          Reason = "queueTimeout"
	ReasonTargetLimited         Reason = "targetLimited"
	ReasonDeadlineTooClose      Reason = "deadlineTooClose"
	ReasonLeaving               Reason = "leaving"
	ReasonNoTarget              Reason = "noTarget"
	ReasonDomainEvacuated       Reason = "domainEvacuated"
	ReasonTargetDown            Reason = "targetDown"
	ReasonTargetFailed          Reason = "targetFailed"
	ReasonNodeUnreachable       Reason = "nodeUnreachable"
	ReasonAnswerMismatch        Reason = "answerMismatch"
	ReasonAnswerTruncated       Reason = "answerTruncated"
	ReasonAnswerOversized       Reason = "answerOversized"
	ReasonNotReady              Reason = "notReady"
	ReasonConfirmTimeout        Reason = "confirmTimeout"
	ReasonContextUnknown        Reason = "contextUnknown"
	ReasonPoisonRequest         Reason = "poisonRequest"
	ReasonOperationIDRequired   Reason = "operationIdRequired"
	ReasonOperationIDInvalid    Reason = "operationIdInvalid"
	ReasonOperationExpired      Reason = "operationExpired"
	ReasonOperationUnknown      Reason = "operationUnknown"
	ReasonOperationRunning      Reason = "operationRunning"
	ReasonOperationSealed       Reason = "operationSealed"
	ReasonOperationTableFull    Reason = "operationTableFull"
	ReasonNonIdempotentInLookup Reason = "onceOnlyInLookup"
	ReasonAnswerNotKept         Reason = "answerNotKept"
	ReasonSuspectElsewhere      Reason = "suspectElsewhere"
	ReasonCallerGone            Reason = "callerGone"
	ReasonInternalError         Reason = "internalError"
)

// StatusCallerGone is logged as the status of a call whose caller has disconnected. It is never sent.
const StatusCallerGone = 499

var statusByReason = map[Reason]int{
	ReasonMalformedRequest:      http.StatusBadRequest,
	ReasonKeyMissing:            http.StatusUnauthorized,
	ReasonKeyUnknown:            http.StatusUnauthorized,
	ReasonKeyExposed:            http.StatusBadRequest,
	ReasonAccountNotAllowed:     http.StatusForbidden,
	ReasonRouteUnknown:          http.StatusNotFound,
	ReasonRouteClosed:           http.StatusServiceUnavailable,
	ReasonLookupsClosed:         http.StatusServiceUnavailable,
	ReasonHeaderTooLarge:        http.StatusRequestHeaderFieldsTooLarge,
	ReasonBodyTooLarge:          http.StatusRequestEntityTooLarge,
	ReasonDeadlineExceeded:      http.StatusGatewayTimeout,
	ReasonOverRate:              http.StatusTooManyRequests,
	ReasonOverloaded:            http.StatusServiceUnavailable,
	ReasonQueueTimeout:          http.StatusServiceUnavailable,
	ReasonTargetLimited:         http.StatusServiceUnavailable,
	ReasonDeadlineTooClose:      http.StatusServiceUnavailable,
	ReasonLeaving:               http.StatusServiceUnavailable,
	ReasonNoTarget:              http.StatusServiceUnavailable,
	ReasonDomainEvacuated:       http.StatusServiceUnavailable,
	ReasonTargetDown:            http.StatusBadGateway,
	ReasonTargetFailed:          http.StatusBadGateway,
	ReasonNodeUnreachable:       http.StatusBadGateway,
	ReasonAnswerMismatch:        http.StatusBadGateway,
	ReasonAnswerTruncated:       http.StatusBadGateway,
	ReasonAnswerOversized:       http.StatusBadGateway,
	ReasonNotReady:              http.StatusServiceUnavailable,
	ReasonConfirmTimeout:        http.StatusServiceUnavailable,
	ReasonContextUnknown:        http.StatusForbidden,
	ReasonPoisonRequest:         http.StatusUnprocessableEntity,
	ReasonOperationIDRequired:   http.StatusBadRequest,
	ReasonOperationIDInvalid:    http.StatusBadRequest,
	ReasonOperationExpired:      http.StatusGone,
	ReasonOperationUnknown:      http.StatusConflict,
	ReasonOperationRunning:      http.StatusConflict,
	ReasonOperationSealed:       http.StatusConflict,
	ReasonOperationTableFull:    http.StatusServiceUnavailable,
	ReasonNonIdempotentInLookup: http.StatusForbidden,
	ReasonAnswerNotKept:         http.StatusGone,
	ReasonSuspectElsewhere:      http.StatusServiceUnavailable,
	ReasonCallerGone:            StatusCallerGone,
	ReasonInternalError:         http.StatusInternalServerError,
}

// HTTPStatus returns the HTTP status code for the reason.
func (r Reason) HTTPStatus() int {
	if status, ok := statusByReason[r]; ok {
		return status
	}
	return http.StatusInternalServerError
}

// Reasons returns all reasons in no particular order.
func Reasons() []Reason {
	reasons := make([]Reason, 0, len(statusByReason))
	for reason := range statusByReason {
		reasons = append(reasons, reason)
	}
	return reasons
}

// Retryable reports whether a lookup that was refused for this reason may be retried at another target.
func (r Reason) Retryable() bool {
	switch r {
	case ReasonOverloaded, ReasonQueueTimeout, ReasonTargetLimited, ReasonLeaving, ReasonTargetDown, ReasonTargetFailed,
		ReasonNodeUnreachable, ReasonAnswerMismatch, ReasonAnswerTruncated, ReasonAnswerOversized, ReasonNotReady,
		ReasonSuspectElsewhere, ReasonDomainEvacuated:
		return true
	default:
		return false
	}
}

// IsOverload reports whether the reason means that a target has no capacity for the call.
func (r Reason) IsOverload() bool {
	switch r {
	case ReasonOverloaded, ReasonQueueTimeout, ReasonTargetLimited, ReasonDeadlineTooClose:
		return true
	default:
		return false
	}
}
