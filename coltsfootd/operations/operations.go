package operations

import (
	"context"
	"net/http"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/inflight"
	"coltsfootusher.example/core/call"
)

// Service is the node's part in once-only operations; until ids are issued it refuses all of them.
type Service struct{}

// New returns a service.
func New() *Service { return &Service{} }

// Run refuses the operation.
func (*Service) Run(context.Context, call.Call, func(context.Context) answer.Answer) answer.Answer {
	return answer.Refuse(call.ReasonOperationIDInvalid)
}

// Home returns no home.
func (*Service) Home(call.Call) (string, call.Reason) { return "", call.ReasonOperationIDInvalid }

// Identify returns no id.
func (*Service) Identify(http.Header, call.Call) (string, call.Reason) {
	return "", call.ReasonOperationIDRequired
}

// Seal knows of no operation.
func (*Service) Seal(context.Context, call.Call) call.Outcome { return call.Unknown }

// Serve answers that there are no operations.
func (*Service) Serve(w http.ResponseWriter, _ *http.Request, _ string) {
	answer.Refuse(call.ReasonOperationIDInvalid).Write(w)
}

// ChildID returns no id.
func (*Service) ChildID(*inflight.Parent, call.Call, string) (string, call.Reason) {
	return "", call.ReasonOperationIDInvalid
}

// NoSuspects lets every request run.
type NoSuspects struct{}

// Enter lets the request run.
func (NoSuspects) Enter(context.Context, call.Call) (func(bool), bool) { return func(bool) {}, true }
