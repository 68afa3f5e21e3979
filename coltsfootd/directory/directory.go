package directory

import (
	"context"
	"errors"
	"expvar"
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/freshness"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/quota"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

const (
	tickInterval = 50 * time.Millisecond
	eventQueue   = 256
	// readTimeout leaves room for a platform that answers many times slower than usual.
	readTimeout = 900 * time.Millisecond
	// readRetryMs is the pause after a read that failed.
	readRetryMs clock.Millis = 150
	// unpublishedRetryMs is the pause after a read that found no policy yet. All nodes of a new fleet wait for the first.
	unpublishedRetryMs clock.Millis = 600
	// watchWaitMs is the time that the platform may hold a watch.
	watchWaitMs clock.Millis = 15_000
	watchGrace               = 2 * time.Second
	watchRetry               = 250 * time.Millisecond
	// watchPause gathers changes that come in quick succession into one call.
	watchPause = 100 * time.Millisecond
	// relistMs is how often a reader reads the whole list of targets, in case a watch has gone deaf.
	relistMs clock.Millis = 3000
	// readerMs is the time after its last own read for which a node watches the platform although another is to read it.
	readerMs    clock.Millis = 3000
	askTimeout               = 300 * time.Millisecond
	askRetryMs  clock.Millis = 100
	pushTimeout              = 400 * time.Millisecond
)

// schedule refreshes the confirmation early enough for several failed tries within a lease of a few seconds.
var schedule = freshness.Schedule{ReadEveryMs: 1000, AskEveryMs: 700, TakeoverMs: 1700, RankStepMs: 200}

// Source reads what the platform publishes.
type Source interface {
	Policy(ctx context.Context) (published.Policy, error)
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
	LeaseMs clock.Millis
	Clock   clock.Clock
	Source  Source
	Peers   *peers.Table
	// Target tells whether the local target serves.
	Target Target
	Logger log.Logger
}

// Target is asked whether it serves while its entry is missing from the list.
type Target interface {
	// Serves reports whether the target with the id serves and is not leaving.
	Serves(ctx context.Context, id string) bool
}

// View is what traffic sees of the published values.
type View struct {
	*fleet.Snapshot
	PolicyVersion int64
	KeysRequired  bool
	// AccountsIncomplete is true if an unknown key may be that of an account whose row could not be read.
	AccountsIncomplete bool
	Bounds             published.CallerBounds
	// Neighbours are the peer addresses listed in the own failure domain, with this node's own if it is listed, and Others
	// those of each other domain.
	Neighbours []string
	Others     map[string][]string
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
	// problems is the number of rows of the policy in force that can't be used; unreadable is true while the newest policy
	// as a whole can't be read.
	problems   atomic.Int64
	unreadable atomic.Bool

	lease  freshness.Lease
	policy *published.Policy
	roster *roster.Roster
	// listed is true once a list of targets was read.
	listed bool

	reading, asking     bool
	readAfter, askAfter clock.Millis
	lastRead            clock.Millis
	asked               int
	relistAt            clock.Millis
	relisting           bool
	platformLost        bool
	stopWatch           context.CancelFunc
	vouching            bool
	vouchAt             clock.Millis
}

// New returns a directory that knows nothing yet.
func New(c Config) *Directory {
	d := &Directory{
		Config: c, events: make(chan func(clock.Millis), eventQueue), stopped: make(chan struct{}), roster: roster.New(),
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
			if d.stopWatch != nil {
				d.stopWatch()
			}
			return
		case event := <-d.events:
			event(d.Clock.Now())
		case <-ticker.C:
		}
		d.tick(ctx, d.Clock.Now())
	}
}

// post hands an event to the owner of the state.
func (d *Directory) post(event func(now clock.Millis)) {
	select {
	case d.events <- event:
	case <-d.stopped:
	}
}

func (d *Directory) tick(ctx context.Context, now clock.Millis) {
	age := d.lease.Age(now)
	rank := d.rank()
	if d.roster.Expire(now) {
		d.publish()
	}
	if !d.reading && now >= d.readAfter && (schedule.ReadDue(rank, age) || d.policy == nil) {
		d.startRead(ctx, now)
	}
	listedSelf := d.listedSelf()
	acting := listedSelf && (rank == 0 || now < d.lastRead+readerMs)
	if !d.relisting && now >= d.relistAt && (acting || !listedSelf) {
		d.startRelist(ctx, now)
	}
	d.vouch(ctx, now)
	d.watch(ctx, acting)
	if !d.asking && now >= d.askAfter && schedule.AskDue(rank, age) {
		d.startAsk(ctx, now)
	}
}

// listedSelf reports whether the list shows this node. In a new fleet the list is empty at first; if all nodes acted as
// readers then, each would watch all targets register one by one.
func (d *Directory) listedSelf() bool {
	v := d.view.Load()
	return v != nil && slices.Contains(v.Neighbours, d.Address)
}

// rank returns the place of this node among those of its failure domain: the first while none is known, the last for a
// node that is not listed.
func (d *Directory) rank() int {
	v := d.view.Load()
	if v == nil {
		return 0
	}
	if i := slices.Index(v.Neighbours, d.Address); i >= 0 {
		return i
	}
	return len(v.Neighbours)
}

func (d *Directory) startRead(ctx context.Context, now clock.Millis) {
	d.reading = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		p, err := d.Source.Policy(ctx)
		d.post(func(done clock.Millis) { d.finishRead(p, err, now, done) })
	}()
}

func (d *Directory) finishRead(p published.Policy, err error, sentAt, now clock.Millis) {
	d.reading = false
	if errors.Is(err, published.ErrNoPolicy) {
		d.readAfter = now + unpublishedRetryMs
		return
	}
	if errors.Is(err, published.ErrUnreadable) {
		d.platformAnswered(now)
		d.readAfter = now + unpublishedRetryMs
		d.policyUnreadable(err)
		return
	}
	if err != nil {
		d.readAfter = now + readRetryMs
		d.platformFailed("policy", err)
		return
	}
	d.lastRead = now
	d.platformAnswered(now)
	d.applyPolicy(p, "platform")
	d.confirm(p.Version, sentAt, "platform")
}

func (d *Directory) startRelist(ctx context.Context, now clock.Millis) {
	d.relisting = true
	go func() {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		delta, notes, err := d.Source.Targets(ctx)
		d.post(func(done clock.Millis) {
			d.relisting = false
			d.relistAt = now + relistMs
			if err != nil {
				d.relistAt = done + readRetryMs
				d.platformFailed("targets", err)
				return
			}
			d.platformAnswered(done)
			d.applyTargets(delta, notes, "platform", done)
		})
	}()
}

// platformFailed logs the loss of the platform once.
func (d *Directory) platformFailed(what string, err error) {
	d.roster.PublisherLost()
	if d.platformLost {
		return
	}
	d.platformLost = true
	_ = level.Warn(d.Logger).Log("msg", "platform does not answer", "read", what, "err", err,
		"confirmationAgeMs", int64(d.Age()))
}

func (d *Directory) platformAnswered(now clock.Millis) {
	d.roster.PublisherReached(now)
	if d.platformLost {
		d.platformLost = false
		_ = level.Info(d.Logger).Log("msg", "platform answers again")
	}
}

// policyUnreadable logs once that the newest policy can't be read. The one in force holds until its lease ends, since the
// new one may withdraw keys.
func (d *Directory) policyUnreadable(err error) {
	if d.unreadable.Swap(true) {
		return
	}
	_ = level.Error(d.Logger).Log("msg", "published policy can't be read, the former one holds until its confirmation is too old",
		"err", err, "confirmationAgeMs", int64(d.Age()))
}

// Publish makes the state of the policy visible among the metrics.
func (d *Directory) Publish(metrics *expvar.Map) {
	metrics.Set("policyRowsUnusable", expvar.Func(func() any { return d.problems.Load() }))
	metrics.Set("policyUnreadable", expvar.Func(func() any { return d.unreadable.Load() }))
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
	d.problems.Store(int64(len(p.Problems)))
	_ = level.Info(d.Logger).Log("msg", "policy in force", "version", p.Version, "before", before, "source", source,
		"routes", len(p.Routes), "accounts", len(p.Accounts), "problems", len(p.Problems))
	for _, problem := range p.Problems {
		_ = level.Error(d.Logger).Log("msg", "published row can't be used", "version", p.Version, "section", problem.Section,
			"row", problem.Row, "err", problem.Err)
	}
	d.publish()
	if source == "platform" {
		d.push(syncMessage{Policy: &p})
	}
	return true
}

// confirm extends the lease if version is the one in force.
func (d *Directory) confirm(version int64, at clock.Millis, source string) {
	if d.policy == nil || version != d.policy.Version {
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
	d.listed = d.listed || delta.Whole
	for _, c := range news {
		d.logChange(c, source)
	}
	if len(news) == 0 && d.view.Load() != nil {
		return
	}
	d.publish()
	if source == "platform" && len(news) > 0 {
		d.push(syncMessage{Roster: &roster.Delta{Base: base, Revision: d.roster.Revision(), Changes: news}})
	}
}

func (d *Directory) logChange(c roster.Change, source string) {
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
	return fleet.Assemble(d.policy.Version, d.policy.Routes, d.policy.Accounts, d.policy.Services, vms)
}

// publish makes the values in force visible to traffic.
func (d *Directory) publish() {
	if d.policy == nil || !d.listed {
		return
	}
	vms := d.roster.VMs()
	v := &View{
		Snapshot:      d.snapshot(vms),
		PolicyVersion: d.policy.Version, KeysRequired: d.policy.KeysRequired, Bounds: d.policy.Bounds,
		AccountsIncomplete: d.policy.AccountsIncomplete,
	}
	v.Neighbours, v.Others = addresses(vms, d.FailureDomain)
	listed := make(map[string]bool)
	for _, other := range vms {
		listed[other.PeerAddress] = true
	}
	v.Ranking = quota.NewRanking(slices.Collect(maps.Keys(listed)))
	d.Peers.Keep(listed)
	d.view.Store(v)
}
