package directory

import (
	"context"
	"expvar"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/freshness"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/quota"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

// Error is the class of errors about messages between nodes.
var Error = errs.Class("directory")

const (
	tickInterval   = 50 * time.Millisecond
	eventQueueSize = 256
	// platformSource names the platform as the source of values in log lines.
	platformSource = "platform"
)

// confirmationSchedule refreshes the confirmation early enough for several failed tries within a lease of a few seconds.
var confirmationSchedule = freshness.Schedule{ReadEveryMs: 1000, AskEveryMs: 700, TakeoverMs: 1900, RankStepMs: 250}

// Platform reads what the platform publishes.
type Platform interface {
	Policy(ctx context.Context) (published.Policy, error)
	// Contacts returns the entries of a list that may be seconds old. It costs the platform little.
	Contacts(ctx context.Context) ([]vm.VM, error)
	// Targets returns the whole list, and notes on entries that could not be used.
	Targets(ctx context.Context) (roster.Delta, []error, error)
	// WatchTargets waits for changes after the revision.
	WatchTargets(ctx context.Context, after int64, wait clock.Millis) (roster.Delta, []error, error)
	// WatchPolicy waits for a policy written after the revision; it is nil if there was none.
	WatchPolicy(ctx context.Context, after int64, wait clock.Millis) (*published.Policy, int64, error)
}

// Config are the settings and dependencies of a Directory.
type Config struct {
	// Address is this node's own peer address.
	Address       string
	FailureDomain string
	Incarnation   uint64
	// TargetAddress is the address of the target beside this node.
	TargetAddress string
	// LeaseMs is the age of the confirmation up to which keys are accepted.
	LeaseMs  clock.Millis
	Clock    clock.Clock
	Platform Platform
	Peers    *peers.Table
	// Target tells whether the local target serves.
	Target TargetChecker
	Logger log.Logger
}

// TargetChecker is asked whether it serves while its entry is missing from the list.
type TargetChecker interface {
	// Serves reports whether the target with the id serves and is not leaving.
	Serves(ctx context.Context, id string) bool
}

// View is what traffic sees of the published values.
type View struct {
	*fleet.Snapshot
	Nodes
	PolicyVersion int64
	KeysRequired  bool
	// AccountsIncomplete is true if an unknown key may be that of an account whose row could not be read.
	AccountsIncomplete bool
	Bounds             published.CallerLimits
	// Ranking chooses the owners of the accounts' buckets among all listed nodes.
	Ranking *quota.Ranking
}

// Directory holds the published values. The goroutine in Run owns all state but the atomic fields.
type Directory struct {
	Config
	events  chan func(now clock.Millis)
	stopped chan struct{}
	random  *rand.Rand

	view        atomic.Pointer[View]
	confirmedAt atomic.Int64
	// unusableRows is the number of rows of the policy in force that can't be used; unreadable is true while the newest policy
	// as a whole can't be read.
	unusableRows atomic.Int64
	unreadable   atomic.Bool

	lease  freshness.Lease
	policy *published.Policy
	roster *roster.Roster
	// targetsKnown is true once a list of targets was read.
	targetsKnown bool

	// discovered are the nodes of which this node has heard before it knows the list, since contactsAt.
	discovered   Nodes
	discoveredAt clock.Millis
	// Each kind of call has one under way at most, and a time before which it is not made again.
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
	// policyReadAt is the time of the last own read of the policy; asked counts the questions since the last one that helped.
	policyReadAt clock.Millis
	syncAttempts int
	stopWatches  context.CancelFunc
	calls        platformCalls
	// platformFailures counts the calls to the platform that failed since the last answer.
	platformFailures    int
	platformUnreachable bool
}

// New returns a directory that knows nothing yet.
func New(c Config) *Directory {
	d := &Directory{
		Config: c, events: make(chan func(clock.Millis), eventQueueSize), stopped: make(chan struct{}), roster: roster.New(),
		random: rand.New(rand.NewPCG(c.Incarnation, uint64(c.Clock.Now()))),
	}
	d.confirmedAt.Store(int64(clock.Never))
	return d
}

// View returns the values in force, nil before the first policy and list are known.
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

// Fresh reports whether keys may be accepted: the policy was confirmed recently enough for every withdrawal of a key to
// be known in time.
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

// enqueue hands an event to the owner of the state.
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
	nodes := d.nodes()
	rank := d.rank(nodes)
	age := d.confirmationAge(now)
	d.discoverNodes(ctx, now)
	readDue := confirmationSchedule.ReadDue(rank, age) || rank == 0 && d.policy == nil
	if len(nodes.All) > 0 && !d.readingPolicy && now >= d.readPolicyAfter && readDue {
		d.startPolicyRead(ctx, now)
	}
	acting := slices.Contains(nodes.All, d.Address) && (rank == 0 || now < d.policyReadAt+readerHoldMs)
	if acting && !d.listingTargets && now >= d.listTargetsAfter {
		d.startTargetList(ctx, now)
	}
	d.checkServing(ctx, now)
	d.updateWatches(ctx, acting)
	askDue := confirmationSchedule.AskDue(rank, age) || rank > 0 && d.starting(now)
	if len(nodes.All) > 0 && !d.syncing && now >= d.syncAfter && askDue {
		d.startSync(ctx, nodes, now)
	}
}

// starting reports whether the values are still missing, or have never been confirmed. The node serves nobody until then.
func (d *Directory) starting(now clock.Millis) bool {
	return d.view.Load() == nil || d.lease.Age(now) == clock.Never
}

// nodes returns the nodes of the list in force or, before it is known, those of which this node has heard.
func (d *Directory) nodes() Nodes {
	if v := d.view.Load(); v != nil {
		return v.Nodes
	}
	return d.discovered
}

// rank returns the place of this node in the order in which nodes read the platform.
func (d *Directory) rank(nodes Nodes) int {
	return nodes.rank(d.Address, d.Peers.Usable)
}

// confirmationAge returns the time since the policy was confirmed or, if it never was, since this node heard of others.
func (d *Directory) confirmationAge(now clock.Millis) clock.Millis {
	if age := d.lease.Age(now); age != clock.Never {
		return age
	}
	return now - d.discoveredAt
}

// reportUnreadablePolicy logs once that the newest policy can't be read. The one in force holds until its lease ends, since the
// new one may withdraw keys.
func (d *Directory) reportUnreadablePolicy(err error) {
	if d.unreadable.Swap(true) {
		return
	}
	_ = level.Error(d.Logger).Log("msg", "published policy can't be read, the former one holds until its confirmation is too old",
		"err", err, "confirmationAgeMs", int64(d.Age()))
}

// Publish makes the state of the policy and the calls to the platform visible among the metrics.
func (d *Directory) Publish(metrics *expvar.Map) {
	metrics.Set("policyRowsUnusable", expvar.Func(func() any { return d.unusableRows.Load() }))
	metrics.Set("policyUnreadable", expvar.Func(func() any { return d.unreadable.Load() }))
	metrics.Set("platformCalls", expvar.Func(d.calls.counts))
}

// applyPolicy puts a newer policy into force and reports whether it was newer.
func (d *Directory) applyPolicy(p published.Policy, source string) bool {
	if d.policy != nil && p.Version <= d.policy.Version {
		return false
	}
	before := int64(0)
	if d.policy != nil {
		before = d.policy.Version
	}
	d.policy = &p
	d.unreadable.Store(false)
	d.unusableRows.Store(int64(len(p.Problems)))
	_ = level.Info(d.Logger).Log("msg", "policy in force", "version", p.Version, "before", before, "source", source,
		"routes", len(p.Routes), "accounts", len(p.Accounts), "problems", len(p.Problems))
	for _, problem := range p.Problems {
		_ = level.Error(d.Logger).Log("msg", "published row can't be used", "version", p.Version, "section", problem.Section,
			"row", problem.Row, "err", problem.Err)
	}
	if source != platformSource {
		// A node that waits for a confirmation asks at once: the node that has the policy can confirm it.
		d.syncAttempts, d.syncAfter = 0, 0
	}
	d.updateView()
	d.propagate(source, syncMessage{Policy: &p})
	return true
}

// policyVersion returns that of the policy in force, 0 before the first one.
func (d *Directory) policyVersion() int64 {
	if d.policy == nil {
		return 0
	}
	return d.policy.Version
}

// confirm extends the lease if version is the one in force.
func (d *Directory) confirm(version int64, at clock.Millis, source string) {
	if version != d.policyVersion() {
		_ = level.Warn(d.Logger).Log("msg", "confirmation of another version ignored", "version", version, "source", source)
		return
	}
	if d.lease.Confirm(version, at) {
		d.confirmedAt.Store(int64(at))
	}
}

func (d *Directory) applyTargets(delta roster.Delta, notes []error, source string, now clock.Millis) {
	for _, note := range notes {
		_ = level.Debug(d.Logger).Log("msg", "published entry ignored", "err", note)
	}
	base := d.roster.Revision()
	news := d.roster.Apply(delta, now)
	d.targetsKnown = d.targetsKnown || delta.Full
	for _, c := range news {
		d.logTargetChange(c, source)
	}
	if len(news) == 0 && d.view.Load() != nil {
		return
	}
	d.updateView()
	if len(news) > 0 {
		onward := d.roster.DeltaToForward(base, delta)
		onward.LapseGraceMs = d.roster.LapseGrace(now)
		d.propagate(source, syncMessage{Roster: &onward})
	}
}

func (d *Directory) logTargetChange(c roster.Change, source string) {
	if c.VM == nil {
		_ = level.Info(d.Logger).Log("msg", "target is gone from the list", "target", c.Name, "revision", c.Revision, "source", source)
		return
	}
	_ = level.Info(d.Logger).Log("msg", "target listed", "target", c.Name, "state", c.VM.State, "service", c.VM.Service,
		"peer", c.VM.PeerAddress, "revision", c.Revision, "source", source)
}

// snapshot returns the policy in force with the list of targets, which changes far more often.
func (d *Directory) snapshot(vms []vm.VM) *fleet.Snapshot {
	if v := d.view.Load(); v != nil && v.PolicyVersion == d.policy.Version {
		return v.WithVMs(vms)
	}
	return fleet.NewSnapshot(d.policy.Version, d.policy.Routes, d.policy.Accounts, d.policy.Services, vms)
}

// updateView makes the values in force visible to traffic.
func (d *Directory) updateView() {
	if d.policy == nil || !d.targetsKnown {
		return
	}
	vms := d.roster.VMs()
	v := &View{
		Snapshot: d.snapshot(vms), Nodes: newNodes(vms, d.FailureDomain),
		PolicyVersion: d.policy.Version, KeysRequired: d.policy.KeysRequired, Bounds: d.policy.Bounds,
		AccountsIncomplete: d.policy.AccountsIncomplete,
	}
	v.Ranking = quota.NewRanking(v.All)
	listed := make(map[string]string, len(v.All))
	for _, other := range vms {
		listed[other.PeerAddress] = other.FailureDomain
	}
	d.Peers.SetListed(listed)
	d.view.Store(v)
}
