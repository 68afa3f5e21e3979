package peerserver

import (
	"context"
	"net/http"

	"github.com/twitchtv/twirp"

	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/peer/peerpb"
)

// Synchronizer exchanges versions and notices with peers.
type Synchronizer interface {
	Sync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error)
	Leave(ctx context.Context, r *peerpb.LeaveRequest) (*peerpb.LeaveReply, error)
}

// TokenIssuer leases tokens to peers and releases seats.
type TokenIssuer interface {
	Draw(ctx context.Context, r *peerpb.DrawRequest) (*peerpb.DrawReply, error)
	ReturnTokens(ctx context.Context, r *peerpb.ReturnTokensRequest) (*peerpb.ReturnTokensReply, error)
	ReportSeats(ctx context.Context, r *peerpb.SeatReport) (*peerpb.SeatReport, error)
	ReleaseSeat(ctx context.Context, r *peerpb.ReleaseSeatRequest) (*peerpb.ReleaseSeatReply, error)
}

// Operations issues the IDs of non-idempotent operations and keeps their outcomes.
type Operations interface {
	IssueOperation(ctx context.Context, r *peerpb.IssueOperationRequest) (*peerpb.IssueOperationReply, error)
	Outcome(ctx context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error)
	SealOperation(ctx context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error)
	Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error)
}

// ControlAPI combines the interfaces that make up the twirp service. The methods of a nil interface return
// Unimplemented.
type ControlAPI struct {
	Synchronizer
	TokenIssuer
	Operations
}

// NewControlHandler returns the handler of the twirp service.
func NewControlHandler(api ControlAPI) http.Handler {
	if api.Synchronizer == nil {
		api.Synchronizer = unimplemented{}
	}
	if api.TokenIssuer == nil {
		api.TokenIssuer = unimplemented{}
	}
	if api.Operations == nil {
		api.Operations = unimplemented{}
	}
	server := peerpb.NewControlServer(api)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		transport.MarkControl(r.Context())
		// Nodes measure ages themselves, so the Date header is not needed.
		w.Header()["Date"] = nil
		server.ServeHTTP(w, r)
	})
}

type unimplemented struct{}

func unimplementedError(method string) error {
	return twirp.NewErrorf(twirp.Unimplemented, "%s is not served by this node", method)
}

func (unimplemented) Sync(context.Context, *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	return nil, unimplementedError("Sync")
}

func (unimplemented) Leave(context.Context, *peerpb.LeaveRequest) (*peerpb.LeaveReply, error) {
	return nil, unimplementedError("Leave")
}

func (unimplemented) Draw(context.Context, *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	return nil, unimplementedError("Draw")
}

func (unimplemented) ReturnTokens(context.Context, *peerpb.ReturnTokensRequest) (*peerpb.ReturnTokensReply, error) {
	return nil, unimplementedError("ReturnTokens")
}

func (unimplemented) ReportSeats(context.Context, *peerpb.SeatReport) (*peerpb.SeatReport, error) {
	return nil, unimplementedError("ReportSeats")
}

func (unimplemented) ReleaseSeat(context.Context, *peerpb.ReleaseSeatRequest) (*peerpb.ReleaseSeatReply, error) {
	return nil, unimplementedError("ReleaseSeat")
}

func (unimplemented) IssueOperation(context.Context, *peerpb.IssueOperationRequest) (*peerpb.IssueOperationReply, error) {
	return nil, unimplementedError("IssueOperation")
}

func (unimplemented) Outcome(context.Context, *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return nil, unimplementedError("Outcome")
}

func (unimplemented) SealOperation(context.Context, *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return nil, unimplementedError("SealOperation")
}

func (unimplemented) Handover(context.Context, *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return nil, unimplementedError("Handover")
}
