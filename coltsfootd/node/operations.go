package node

import (
	"context"
	"net/http"

	"github.com/go-kit/log/level"
	"github.com/twitchtv/twirp"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/operations"
	"coltsfootusher.example/coltsfootd/peerclient"
	"coltsfootusher.example/coltsfootd/suspect"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/peerpb"
)

// maxOperationWaiters bounds the repeated requests that wait for one running operation.
const maxOperationWaiters = 64

// buildOperations makes the node's part in once-only operations.
func (n *Node) buildOperations(secret []byte, signer *auth.Signer) error {
	s := n.settings
	codec, err := operation.NewCodec(secret)
	if err != nil {
		return err
	}
	n.peers = peerclient.New(signer, transport.New(s.SourceAddress(), 0, peerIdleConns))
	n.seats = operations.NewListSeats(s.NodeName, s.SeatFenceMs, n.control)
	n.operations = operations.New(operations.Config{
		Node: s.NodeName, FailureDomain: s.FailureDomain, Service: s.Service, Incarnation: n.incarnation, Clock: n.clock,
		Snapshots: n.control, Peers: n.control, Balancer: n.balancer, Seats: n.seats,
		Controls: n.peers, Codec: codec,
		Table: operation.Config{
			Node: s.NodeName, Incarnation: n.incarnation, RetentionMs: s.OperationRetentionMs,
			MaxClockSkewMs: s.MaxClockSkewMs, MaxEntries: s.OperationMaxEntries,
			MaxBodyBytes: int(s.OperationMaxBodyBytes), MaxWaiters: maxOperationWaiters,
		},
		Logger: logging.Part(n.logger, "operations"),
	})
	return nil
}

// closeOperations waits for the running operations and hands their outcomes over to peers.
func (n *Node) closeOperations(ctx context.Context) error {
	if err := n.operations.Drain(ctx); err != nil {
		return Error.New("operations were running after drainTimeoutMs: %v", err)
	}
	// Without a handover the outcomes of this incarnation are unknown from now on, but no request is cut.
	if err := n.operations.Close(ctx); err != nil {
		_ = level.Warn(n.logger).Log("part", "operations", "msg", "operation table not handed over", "err", err)
	}
	return nil
}

// controlServer serves the control calls of peers.
type controlServer struct {
	unserved
	operations *operations.Service
	suspects   *suspect.Guard
}

func (n *Node) controlHandler() http.Handler {
	return peerpb.NewControlServer(controlServer{operations: n.operations, suspects: n.suspects})
}

// IssueOperation issues an id.
func (c controlServer) IssueOperation(
	ctx context.Context, r *peerpb.IssueOperationRequest,
) (*peerpb.IssueOperationReply, error) {
	return c.operations.IssueOperation(ctx, r)
}

// Outcome reports an outcome.
func (c controlServer) Outcome(ctx context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return c.operations.Outcome(ctx, r)
}

// SealOperation seals an operation.
func (c controlServer) SealOperation(ctx context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	return c.operations.SealOperation(ctx, r)
}

// Handover takes part of an operation table.
func (c controlServer) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	return c.operations.Handover(ctx, r)
}

// unserved answers the control calls that this node does not serve.
type unserved struct{}

var errUnserved = twirp.NewError(twirp.Unimplemented, "this node does not serve the call")

// Draw is not served.
func (unserved) Draw(context.Context, *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	return nil, errUnserved
}

// ReturnTokens is not served.
func (unserved) ReturnTokens(context.Context, *peerpb.ReturnTokensRequest) (*peerpb.ReturnTokensReply, error) {
	return nil, errUnserved
}

// ReleaseSeat is not served.
func (unserved) ReleaseSeat(context.Context, *peerpb.ReleaseSeatRequest) (*peerpb.ReleaseSeatReply, error) {
	return nil, errUnserved
}

// Leave is not served.
func (unserved) Leave(context.Context, *peerpb.LeaveRequest) (*peerpb.LeaveReply, error) {
	return nil, errUnserved
}
