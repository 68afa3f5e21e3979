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
	// maxRunTimeout bounds a started operation. It is well below the default retention of outcomes and the default drain
	// timeout, so that a graceful shutdown waits for every operation.
	maxRunTimeout = 20 * time.Second
	// retentionDivisor limits a started operation to a quarter of the retention if that is shorter than maxRunTimeout.
	retentionDivisor = 4
	// answerMargin is how long before the caller's deadline the home answers that the operation is still running, so
	// that the answer reaches the caller in time.
	answerMargin = 20 * time.Millisecond
	// peerTimeout bounds one control call to a peer.
	peerTimeout = 500 * time.Millisecond
)

// Snapshots provides the published values in force.
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

// Seats tells which node owns an operation seat.
type Seats interface {
	// Owner returns the VM that requests for the seat of the service go to, or "" if there is none.
	Owner(service string, seat operation.Seat) string
	// Owned reports since when, on its monotonic clock, this node has owned the seat without interruption.
	Owned(service string, seat operation.Seat, now clock.Millis) (since clock.Millis, ok bool)
}

// ControlClients provides clients for control calls to peers.
type ControlClients interface {
	Control(v vm.VM) peerpb.Control
}

// Config holds the settings and dependencies of a Service.
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

// Service is the home of the non-idempotent operations that run at the local target, and the client of other homes. It
// is safe for concurrent use.
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

// New returns a service with an empty operation table.
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

// localOperation returns the operation as this node's table knows it. The clocks are read before the ownership, as
// operation.Now requires.
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

// askPeer makes a control call to a peer within peerTimeout.
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
