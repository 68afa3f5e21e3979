package directory

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/freshness"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

// Error is the class of errors in messages between nodes.
var Error = errs.Class("directory")

const (
	tickInterval   = 50 * time.Millisecond
	eventQueueSize = 256
	// platformSource identifies the platform as the source of a value.
	platformSource = "platform"
)

var confirmationSchedule = freshness.DefaultSchedule()

// Platform reads the values that the platform publishes.
type Platform interface {
	Policy(ctx context.Context) (published.Policy, error)
	// Contacts returns the entries of a list that may be seconds old. It is cheap for the platform.
	Contacts(ctx context.Context) ([]vm.VM, error)
	// Targets returns the whole list of targets, and an error for each entry that could not be used.
	Targets(ctx context.Context) (roster.Delta, []error, error)
	// Listed reports whether the platform lists the target. The answer may be seconds old.
	Listed(ctx context.Context, target string) (bool, error)
	// WatchTargets waits for changes of the list after the position. It fails if the platform was restored since.
	WatchTargets(ctx context.Context, after history.Position, wait clock.Millis) (roster.Delta, []error, error)
	// WatchPolicy waits for a policy written after the position, and returns that from which to continue. The policy is nil if
	// there was none.
	WatchPolicy(ctx context.Context, after history.Position, wait clock.Millis) (*published.Policy, history.Position, error)
}

// Config holds the settings and dependencies of a Directory.
type Config struct {
	// Address is this node's own peer address.
	Address       string
	FailureDomain string
	Incarnation   uint64
	// TargetAddress is the address of the local target.
	TargetAddress string
	// LeaseMs is the age of the policy's confirmation from which on API keys are no longer accepted.
	LeaseMs  clock.Millis
	Clock    clock.Clock
	Platform Platform
	// Evacuations reads the evacuated failure domains; nil if the node doesn't follow them.
	Evacuations EvacuationPlatform
	// EvacuationMs is the time within which evacuations take effect.
	EvacuationMs clock.Millis
	Peers        *peers.Table
	// Target checks whether the local target serves requests.
	Target TargetChecker
	// OnLeave is called when a peer announces that it stops, with the time for which it still passes on responses.
	OnLeave func(incarnation uint64, answersForMs clock.Millis)
	// OnReturned is called when the evacuation of the node's own failure domain has ended, before requests use its targets again.
	OnReturned func()
	Logger     log.Logger
}

// TargetChecker checks the local target while its entry is missing from the list.
type TargetChecker interface {
	// Serves reports whether the target with the id serves requests and is not leaving.
	Serves(ctx context.Context, id string) bool
}

// Directory holds the published values. The goroutine in Run owns all fields except the atomic ones.
type Directory struct {
	Config
	events  chan func(now clock.Millis)
	stopped chan struct{}
	random  *rand.Rand

	view        atomic.Pointer[View]
	confirmedAt atomic.Int64
	// unusableRows is the number of rows of the policy in force that can't be used. unreadable is true while the newest policy as
	// a whole can't be read.
	unusableRows atomic.Int64
	unreadable   atomic.Bool

	lease  freshness.Lease
	policy *published.Policy
	roster *roster.Roster
	// evacuations is nil if the node doesn't follow them.
	evacuations *evacuations
	// targetsKnown is true once a whole list of targets was received.
	targetsKnown bool
	// epoch is the latest epoch of the platform's store that this node knows, or unknownEpoch.
	epoch int64
	// policyReadEpoch is the epoch in which this node last read the policy from the platform.
	policyReadEpoch int64

	// discovered holds the nodes found before the list of targets is known, discoveredAt the time at which the first were found.
	discovered   Nodes
	discoveredAt clock.Millis
	// At most one call of each kind is in progress, and none is made again before the time stored with it.
	discovering       bool
	discoverAfter     clock.Millis
	readingPolicy     bool
	readPolicyAfter   clock.Millis
	listingTargets    bool
	listTargetsAfter  clock.Millis
	syncing           bool
	syncAfter         clock.Millis
	checkingServing   bool
	checkServingAfter clock.Millis
	// policyReadAt is the time at which this node last read the policy from the platform. syncAttempts counts the sync requests
	// since the last successful one.
	policyReadAt clock.Millis
	syncAttempts int
	// newerPeer is a node that has a newer policy, or "". It is asked next.
	newerPeer string
	// While heardFromPeer is false, this node asks others before it reads the platform, until askPeersUntil.
	heardFromPeer bool
	askPeersUntil clock.Millis
	stopWatches   context.CancelFunc
	// watchedEpoch is the epoch of the running watches.
	watchedEpoch     int64
	watchesStartedAt clock.Millis
	// platformPosition is the position of the platform at the last read of the policy. The watch must have delivered the changes up
	// to it by checkListAfter. listedAt is the time of the last read of the list.
	platformPosition history.Position
	checkListAfter   clock.Millis
	listedAt         clock.Millis
	calls            platformCalls
	// platformFailures counts the failed platform calls since the last successful one.
	platformFailures    int
	platformUnreachable bool
}

// New returns a directory without any values.
func New(c Config) *Directory {
	d := &Directory{
		Config: c, events: make(chan func(clock.Millis), eventQueueSize), stopped: make(chan struct{}),
		roster: roster.New(), epoch: unknownEpoch, policyReadEpoch: unknownEpoch,
		random: rand.New(rand.NewPCG(c.Incarnation, uint64(c.Clock.Now()))),
	}
	d.confirmedAt.Store(int64(clock.Never))
	if c.Evacuations != nil {
		d.evacuations = newEvacuations()
	}
	return d
}

// View returns the values in force, or nil until both a policy and a list of targets are known.
func (d *Directory) View() *View {
	return d.view.Load()
}

// Age returns the time since the policy was last confirmed to be the newest, or clock.Never.
func (d *Directory) Age() clock.Millis {
	at := clock.Millis(d.confirmedAt.Load())
	if at == clock.Never {
		return clock.Never
	}
	return max(0, d.Clock.Now()-at)
}

// Fresh reports whether API keys may be accepted: the policy was confirmed recently enough that a revoked key is rejected in
// time.
func (d *Directory) Fresh() bool {
	return d.Age() < d.LeaseMs
}

// Run keeps the values current until ctx ends.
func (d *Directory) Run(ctx context.Context) {
	defer close(d.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	d.tick(ctx, d.Clock.Now())
	for {
		select {
		case <-ctx.Done():
			if d.stopWatches != nil {
				d.stopWatches()
			}
			return
		case event := <-d.events:
			event(d.Clock.Now())
		case <-ticker.C:
		}
		d.tick(ctx, d.Clock.Now())
	}
}

// enqueue hands an event to the goroutine that owns the state.
func (d *Directory) enqueue(event func(now clock.Millis)) {
	select {
	case d.events <- event:
	case <-d.stopped:
	}
}

func (d *Directory) tick(ctx context.Context, now clock.Millis) {
	if d.roster.RemoveExpired(now) {
		d.updateView()
	}
	d.tickEvacuations(now)
	nodes := d.nodes()
	rank := d.rank(nodes)
	age := d.confirmationAge(now)
	d.discoverNodes(ctx, now)
	peersFirst := d.asksPeersFirst(nodes, now)
	readDue := confirmationSchedule.ReadDue(rank, age) || rank == 0 && d.policy == nil
	if len(nodes.All) > 0 && !d.readingPolicy && now >= d.readPolicyAfter && readDue && !peersFirst {
		d.startPolicyRead(ctx, now)
	}
	reader := slices.Contains(nodes.All, d.Address) && (rank == 0 || now < d.policyReadAt+readerHoldMs)
	if reader && !d.listingTargets && (now >= d.listTargetsAfter || d.listBehind(now)) && !peersFirst {
		d.startTargetsRead(ctx, now)
	}
	d.checkServing(ctx, now)
	d.updateWatches(ctx, reader)
	syncDue := confirmationSchedule.AskDue(rank, age) || rank > 0 && d.starting(now) || peersFirst || d.newerPeer != ""
	if len(nodes.All) > 0 && !d.syncing && now >= d.syncAfter && syncDue {
		d.startSync(ctx, nodes, now)
	}
}

// starting reports whether the values are still missing, or have never been confirmed. Until then the node serves no requests.
func (d *Directory) starting(now clock.Millis) bool {
	return d.view.Load() == nil || d.lease.Age(now) == clock.Never
}

// asksPeersFirst reports whether this node must hear from another one before it reads the platform. A node that has just started,
// or that was long without a confirmation when the platform was restored, may lack values that the platform's copy lacks, too.
func (d *Directory) asksPeersFirst(nodes Nodes, now clock.Millis) bool {
	return !d.heardFromPeer && now < d.askPeersUntil && d.randomReachable(nodes.All) != ""
}

// nodes returns the nodes of the list in force or, before a list is known, the discovered ones.
func (d *Directory) nodes() Nodes {
	if v := d.view.Load(); v != nil {
		return v.Nodes
	}
	return d.discovered
}

// rank returns the position of this node in the order in which nodes read the platform.
func (d *Directory) rank(nodes Nodes) int {
	return nodes.rank(d.Address, d.Peers.Usable)
}

// confirmationAge returns the time since the policy and, if the node follows them, the evacuations were confirmed or, if they
// never were, since other nodes were discovered.
func (d *Directory) confirmationAge(now clock.Millis) clock.Millis {
	age := d.lease.Age(now)
	if d.evacuations != nil && age != clock.Never {
		age = max(age, d.evacuations.age(now))
	}
	if age != clock.Never {
		return age
	}
	return now - d.discoveredAt
}

// Publish exports the state of the policy and of the list of targets, and the numbers of platform calls, as metrics.
func (d *Directory) Publish(metrics *expvar.Map) {
	metrics.Set("policyRowsUnusable", expvar.Func(func() any { return d.unusableRows.Load() }))
	metrics.Set("policyUnreadable", expvar.Func(func() any { return d.unreadable.Load() }))
	metrics.Set("platformCalls", expvar.Func(d.calls.counts))
	metrics.Set("targets", expvar.Func(func() any { return d.countTargets() }))
	d.publishEvacuations(metrics)
}
