package control

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/platform"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/member"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

// Error is the class of errors of the control loop.
var Error = errs.Class("control")

const (
	// tickInterval is well below 200 ms, the shortest pause threshold that the settings allow.
	tickInterval = 50 * time.Millisecond
	// evaluateInterval is the interval at which the state of peers is evaluated again, because what is known about them
	// expires.
	evaluateInterval clock.Millis = 1000
	// noticeCapacity bounds the notices kept for forwarding.
	noticeCapacity   = 1024
	eventQueueLength = 64
)

// Platform reads the published values.
type Platform interface {
	Get(ctx context.Context, name fleet.SectionName) (platform.Value, error)
	Watch(ctx context.Context, name fleet.SectionName, after int64, wait clock.Millis) (platform.Value, bool, error)
}

// Dialer returns clients of the control service of peers.
type Dialer interface {
	To(node, address string) peerpb.Control
}

// Config holds the settings and dependencies of a Loop.
type Config struct {
	Node          string
	FailureDomain string
	PeerAddress   string
	Incarnation   uint64
	// BootstrapPeers maps node names to peer addresses.
	BootstrapPeers   map[string]string
	WatchWaitMs      clock.Millis
	StartupTimeoutMs clock.Millis
	PauseThresholdMs clock.Millis
	ConfirmTimeoutMs clock.Millis

	Clock    clock.Clock
	Platform Platform
	Dialer   Dialer
	Logger   log.Logger
}

// Loop keeps the published values up to date. The goroutine in Run owns all state except the atomic pointers; other
// goroutines send it events.
type Loop struct {
	Config
	events  chan func(now clock.Millis)
	stopped chan struct{}

	current atomic.Pointer[fleet.Snapshot]
	state   atomic.Pointer[state]

	store   *config.Store
	reader  *config.Scheduler
	pause   *config.PauseDetector
	members *member.Table

	calls   map[int64]pendingCall
	waiters map[*syncWaiter]struct{}
	cursors map[string]noticeCursor
	// platformSentAt holds, for each section, the time at which the last answered call to the platform was sent.
	platformSentAt map[fleet.SectionName]clock.Millis
	leaving        bool
	// hasUpdates is true if there may be updates or notices for a waiting peer.
	hasUpdates bool
	// nextEvaluation is the time at which the state of peers is evaluated next.
	nextEvaluation clock.Millis
	// refusedNodes is the newest value of state.refusedNodes. It is replaced and never modified.
	refusedNodes map[string]bool
	// bootstrapNames maps addresses of bootstrap peers to node names.
	bootstrapNames map[string]string
}

// state is the part of the control state that goroutines serving requests read.
type state struct {
	ready bool
	view  config.PauseState
	// refusedNodes holds the nodes that get no new work although the published list shows them as live.
	refusedNodes map[string]bool
	// changed is closed when a newer state is published.
	changed chan struct{}
}

// New returns the control loop of a node that has just started.
func New(c Config) *Loop {
	now := c.Clock.Now()
	l := &Loop{
		Config: c, events: make(chan func(clock.Millis), eventQueueLength), stopped: make(chan struct{}),
		store: config.New(), pause: config.NewPauseDetector(c.PauseThresholdMs, c.ConfirmTimeoutMs, now),
		members: member.New(noticeCapacity), calls: make(map[int64]pendingCall), waiters: make(map[*syncWaiter]struct{}),
		cursors: make(map[string]noticeCursor), platformSentAt: make(map[fleet.SectionName]clock.Millis),
		bootstrapNames: make(map[string]string),
	}
	var addresses []string
	for name, address := range c.BootstrapPeers {
		l.bootstrapNames[address] = name
		addresses = append(addresses, address)
	}
	random := rand.New(rand.NewPCG(c.Incarnation, uint64(now)))
	slices.Sort(addresses)
	random.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	l.reader = config.NewScheduler(config.SchedulerSettings{
		Node: c.Node, FailureDomain: c.FailureDomain, PeerAddress: c.PeerAddress, BootstrapPeers: addresses,
		WatchWaitMs: c.WatchWaitMs, StartupTimeoutMs: c.StartupTimeoutMs,
	}, random, now)
	l.current.Store(l.store.Snapshot())
	l.state.Store(&state{view: l.pause.State(), changed: make(chan struct{})})
	return l
}

// Current returns the published values in force.
func (l *Loop) Current() *fleet.Snapshot {
	return l.current.Load()
}

// Wait returns when the node is ready and, after a pause, its versions are confirmed. It returns an error if ctx ends
// first or the node is not ready within the startup timeout.
func (l *Loop) Wait(ctx context.Context) error {
	s := l.state.Load()
	if s.serves(l.Clock.Now()) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.StartupTimeoutMs.Duration())
	defer cancel()
	for !s.serves(l.Clock.Now()) {
		select {
		case <-s.changed:
			s = l.state.Load()
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		}
	}
	return nil
}

func (s *state) serves(now clock.Millis) bool {
	return s.ready && !s.view.HoldsRequests(now)
}

// MayServe reports whether the node on v gets new work.
func (l *Loop) MayServe(v vm.VM) bool {
	return v.State == vm.Live && !l.state.Load().refusedNodes[v.Name]
}

// Run processes events and ticks until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	defer close(l.stopped)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			for _, c := range l.calls {
				c.cancel()
			}
			return
		case event := <-l.events:
			l.handleEvent(ctx, event)
		case <-ticker.C:
			l.handleEvent(ctx, nil)
		}
	}
}

// post sends an event to the goroutine in Run. It returns false if ctx or the loop ended first.
func (l *Loop) post(ctx context.Context, event func(now clock.Millis)) bool {
	select {
	case l.events <- event:
		return true
	case <-ctx.Done():
		return false
	case <-l.stopped:
		return false
	}
}

func (l *Loop) handleEvent(ctx context.Context, event func(now clock.Millis)) {
	now := l.Clock.Now()
	if l.pause.Tick(now) {
		l.resumeAfterPause(now)
	}
	if event != nil {
		event(now)
	}
	if now >= l.nextEvaluation {
		l.hasUpdates = true
	}
	if l.hasUpdates {
		l.evaluateMembers(now)
	}
	l.reader.Ready(l.store.Snapshot().Complete(), now)
	for _, call := range l.reader.Next(now) {
		l.startCall(ctx, call, now)
	}
	l.answerWaiters(now)
	l.publishState(now)
}

// resumeAfterPause cancels the calls made before a pause, except platform reads, and schedules new ones, because the
// answers may be as old as the pause.
func (l *Loop) resumeAfterPause(now clock.Millis) {
	_ = level.Warn(l.Logger).Log("msg", "process was paused, requests wait until versions are confirmed",
		"pauses", l.pause.Count())
	for id, c := range l.calls {
		if c.kind != config.ReadPlatform {
			c.cancel()
			delete(l.calls, id)
		}
	}
	l.reader.PollNow(now)
}

// evaluateMembers determines which nodes get no new work, and updates the schedule of the reader accordingly.
func (l *Loop) evaluateMembers(now clock.Millis) {
	l.members.Prune(now)
	l.nextEvaluation = now + evaluateInterval
	snapshot := l.store.Snapshot()
	l.reader.SetFleet(snapshot, func(name string) bool { return l.members.IsLeaving(name, now) }, now)
	l.refusedNodes = make(map[string]bool)
	for _, v := range snapshot.VMs.VMs {
		if l.members.ExclusionReason(v, now) == member.NoticedLeaving {
			l.refusedNodes[v.Name] = true
		}
	}
}

func (l *Loop) publishState(now clock.Millis) {
	snapshot := l.store.Snapshot()
	l.current.Store(snapshot)
	old := l.state.Load()
	next := &state{
		ready: l.reader.Ready(snapshot.Complete(), now), view: l.pause.State(), refusedNodes: l.refusedNodes,
		changed: make(chan struct{}),
	}
	if next.ready && !old.ready {
		_ = level.Info(l.Logger).Log("msg", "versions confirmed, node is serving", "rank", l.reader.Rank())
	}
	l.state.Store(next)
	close(old.changed)
}

// logResults logs the results of offered versions and reports whether one came into force.
func (l *Loop) logResults(results []config.ApplyResult) bool {
	changed := false
	for _, r := range results {
		switch {
		case r.Outcome == config.Applied:
			changed = true
			_ = level.Info(l.Logger).Log("msg", "published value in force", "section", r.Name, "version", r.Version,
				"before", r.PreviousVersion, "source", r.Source)
		case r.Err != nil && !r.Repeated:
			_ = level.Error(l.Logger).Log("msg", "published value rejected, the last valid one stays in force",
				"section", r.Name, "version", r.Version, "source", r.Source, "outcome", r.Outcome, "err", r.Err)
		}
	}
	l.hasUpdates = l.hasUpdates || changed
	return changed
}
