package node

import (
	"context"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/control"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/operations"
	"coltsfootusher.example/coltsfootd/peerserver"
	"coltsfootusher.example/coltsfootd/suspect"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/peer/peerpb"
)

// maxOperationWaiters limits the retried requests that wait for one running operation.
const maxOperationWaiters = 64

// buildOperations creates the node's component for non-idempotent operations.
func (n *Node) buildOperations(secret []byte) error {
	s := n.settings
	codec, err := operation.NewCodec(secret)
	if err != nil {
		return err
	}
	n.operations = operations.New(operations.Config{
		Node: s.NodeName, FailureDomain: s.FailureDomain, Service: s.Service, Incarnation: n.incarnation, Clock: n.clock,
		Snapshots: n.control, Membership: n.control, Balancer: n.balancer, Seats: n.newOperationSeats(),
		ControlClients: n.peerClient, Codec: codec,
		Table: operation.Config{
			Node: s.NodeName, Incarnation: n.incarnation, RetentionMs: s.OperationRetentionMs,
			MaxClockSkewMs: s.MaxClockSkewMs, MaxEntries: s.OperationMaxEntries,
			MaxBodyBytes: int(s.OperationMaxBodyBytes), MaxWaiters: maxOperationWaiters,
		},
		Logger: logging.WithPart(n.logger, "operations"),
	})
	return nil
}

// closeOperations waits for the running operations and hands the operation table over to peers.
func (n *Node) closeOperations(ctx context.Context) error {
	if err := n.operations.Drain(ctx); err != nil {
		return Error.New("operations were running after drainTimeoutMs: %v", err)
	}
	// Without a handover the outcomes of this incarnation become unknown, but no request is aborted, so only warn.
	if err := n.operations.Close(ctx); err != nil {
		_ = level.Warn(n.logger).Log("part", "operations", "msg", "operation table not handed over", "err", err)
	}
	return nil
}

// controlAPI returns the implementation of the twirp service that this node serves.
func (n *Node) controlAPI() peerserver.ControlAPI {
	return peerserver.ControlAPI{
		Synchronizer: synchronizer{Loop: n.control, suspects: n.suspects},
		TokenIssuer:  n.limits,
		Operations:   n.operations,
	}
}

// synchronizer passes notices about suspect requests to the suspect guard and everything else to the control loop.
type synchronizer struct {
	*control.Loop
	suspects *suspect.Guard
}

// Sync merges the notices about suspect requests. A message with notices but without versions carries nothing else.
func (s synchronizer) Sync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	s.suspects.Merge(decodeRequestNotices(r.Notices))
	if len(r.Versions) == 0 && len(r.Notices) > 0 {
		return &peerpb.SyncReply{}, nil
	}
	return s.Loop.Sync(ctx, r)
}
