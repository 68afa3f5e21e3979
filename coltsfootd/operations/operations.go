package operations

import (
	"context"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

// Error is the class of errors of this package.
var Error = errs.Class("operations")

const (
	// maxRunTimeout bounds a started operation. It is well below the default retention of outcomes and below the default
	// drain timeout, so that a graceful shutdown waits for every operation.
	maxRunTimeout = 20 * time.Second
	// retentionDivisor keeps the bound of a started operation at a quarter of a shorter retention.
	retentionDivisor = 4
	// answerMargin is the time before the caller's deadline at which the home answers that the operation is running,
	// so that the answer still reaches the caller.
	answerMargin = 20 * time.Millisecond
	// peerTimeout bounds one control call to a peer.
	peerTimeout = 500 * time.Millisecond
)

// Snapshots yields the published values in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Membership tells which nodes get new work.
type Membership interface {
	MayServe(v vm.VM) bool
}

// Balancer chooses among targets.
type Balancer interface {
	Choose(candidates []balance.Candidate, exclude map[string]bool, now clock.Millis) (balance.Choice, bool)
	Started(node string, now clock.Millis)
	Finished(node string, report balance.CallResult, now clock.Millis)
}

// Seats knows the owners of operation seats.
type Seats interface {
	// Owner returns the VM that any node asks for the seat of the service; empty if there is none.
	Owner(service string, seat operation.Seat) string
	// Owned reports since when this node has owned the seat without interruption, on its monotonic clock.
	Owned(service string, seat operation.Seat, now clock.Millis) (since clock.Millis, ok bool)
}

// ControlClients makes control calls to peers.
type ControlClients interface {
	Control(v vm.VM) peerpb.Control
}

// Config are the dependencies of a Service.
type Config struct {
	Node          string
	FailureDomain string
	// Service is the service of the local target.
	Service        string
	Incarnation    uint64
	Clock          clock.Clock
	Snapshots      Snapshots
	Membership     Membership
	Balancer       Balancer
	Seats          Seats
	ControlClients ControlClients
	Codec          *operation.Codec
	Table          operation.Config
	Logger         log.Logger
}

// Service is the node's part in once-only operations: the home of those that run at the local target, and the client
// of the other homes. It is safe for concurrent use.
type Service struct {
	config     Config
	runTimeout time.Duration
	running    sync.WaitGroup

	mu         sync.Mutex
	table      *operation.Table
	waiters    map[operation.WaiterID]chan struct{}
	nextWaiter operation.WaiterID
	leaving    bool
}

// New returns a service with an empty table.
func New(config Config) *Service {
	return &Service{
		config: config, runTimeout: min(maxRunTimeout, config.Table.RetentionMs.Duration()/retentionDivisor),
		table: operation.New(config.Table), waiters: make(map[operation.WaiterID]chan struct{}),
	}
}

// Len returns the number of operations on record.
func (s *Service) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.table.Len()
}

func (s *Service) now() operation.ClockReading {
	return operation.ClockReading{MonotonicMs: s.config.Clock.Now(), WallMs: clock.WallNow()}
}

// localOperation returns the operation as this node's table sees it. The time is read before the ownership, see operation.Now.
func (s *Service) localOperation(text, account, service string) (operation.Operation, operation.ClockReading, bool) {
	now := s.now()
	if id, err := s.config.Codec.Decode(text); err == nil {
		return operation.NewIssued(id), now, id.Account == account && id.Service == service
	}
	key, err := operation.ParseIdempotencyKey(text)
	if err != nil {
		return operation.Operation{}, now, false
	}
	var owned operation.SeatOwnership
	if service == s.config.Service {
		if seat, err := s.homeSeat(account, service, key); err == nil {
			owned.SinceMs, owned.Owned = s.config.Seats.Owned(service, seat, now.MonotonicMs)
		}
	}
	return operation.NewKeyed(account, service, key, owned), now, true
}

func (s *Service) homeSeat(account, service string, key operation.IdempotencyKey) (operation.Seat, error) {
	snapshot := s.config.Snapshots.Current()
	svc, _ := snapshot.Service(service)
	return operation.SeatOf(account, key, svc.FailureDomains, snapshot.Services.SeatsPerDomain)
}

// askPeer bounds a control call to a peer.
func (s *Service) askPeer(
	ctx context.Context, v vm.VM, method func(peerpb.Control, context.Context) (*peerpb.OutcomeReply, error),
) (operation.State, bool) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	reply, err := method(s.config.ControlClients.Control(v), ctx)
	if err != nil {
		return operation.State{Outcome: call.OutcomeUnknown, Reason: call.ReasonNodeUnreachable}, false
	}
	return decodeState(reply), true
}
