package suspect

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/coltsfootd/probe"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/vm"
)

const (
	// turnRecheckInterval is the interval at which a waiting suspect checks again whether it may run. A suspect that
	// failed blocks the others until it is known whether the target died.
	turnRecheckInterval = 500 * time.Millisecond
	// maxWaiting bounds the suspects that wait for their turn, because each holds its body in memory.
	maxWaiting = 256
	// probeInterval is the interval between probes of a dead target.
	probeInterval = 20 * time.Millisecond
	// maxNoticesPerMessage bounds the notices in one message to a peer.
	maxNoticesPerMessage = 256
)

// The kernel may close the connections of a dying process before its listener. A target that still accepts a connection
// is therefore probed again, the first few times before the answer is returned: a retry that does not know of the crash
// would run as an ordinary request and crash the next target without proof.
var (
	probeDelaysBeforeAnswer = []time.Duration{0, 2 * time.Millisecond, 6 * time.Millisecond}
	laterProbeDelays        = []time.Duration{20 * time.Millisecond, 100 * time.Millisecond}
)

// Snapshots provides the published values in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Membership tells which nodes get new work.
type Membership interface {
	MayServe(v vm.VM) bool
}

// Config holds the dependencies of a Guard.
type Config struct {
	Node          string
	FailureDomain string
	// Service is the service of the local target.
	Service    string
	Target     string
	Snapshots  Snapshots
	Membership Membership
	// StopPlanned reports whether the target is being stopped on purpose, so that its end is not a crash.
	StopPlanned func() bool
	// SendNotices sends notices to peers without blocking.
	SendNotices func(notices []poison.Notice)
	Logger      log.Logger
}

// Guard holds what the node knows about requests that crash targets. It is safe for concurrent use.
type Guard struct {
	config  Config
	probeMu sync.Mutex

	mu           sync.Mutex
	suspects     *poison.Guard
	targetDead   bool
	waiting      int
	requestEnded chan struct{}
	sentRevision uint64
}

// New returns a guard that knows of no suspects.
func New(config Config) *Guard {
	return &Guard{
		config: config, requestEnded: make(chan struct{}),
		suspects: poison.New(poison.Config{}),
	}
}

// Enter waits until the request may go to the target, or returns the reason why it may not. Suspects take turns. After
// success the caller must call Leave.
func (g *Guard) Enter(ctx context.Context, c call.Call) (poison.Ticket, call.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addCrashes(c.Fingerprint, c.Crashes)
	for {
		if g.targetDead {
			return 0, call.ReasonTargetDown
		}
		decision, ticket := g.suspects.Admit(c.Fingerprint, g.mayRunHere(c), clock.WallNow())
		switch decision {
		case poison.Refuse:
			return 0, call.ReasonPoisonRequest
		case poison.Redirect:
			return 0, call.ReasonSuspectElsewhere
		case poison.Run, poison.RunAsSuspect:
			return ticket, ""
		}
		if reason := g.waitForTurn(ctx); reason != "" {
			return 0, reason
		}
	}
}

// mayRunHere reports whether this node's target may run the request if it is a suspect.
func (g *Guard) mayRunHere(c call.Call) bool {
	if c.Class == route.NonIdempotent {
		return true
	}
	if g.suspects.Status(c.Fingerprint, clock.WallNow()) == poison.Normal {
		return false
	}
	suspectTarget, ok := g.suspectTargetIn(g.config.FailureDomain, g.config.Service, nil)
	return ok && suspectTarget.Name == g.config.Node
}

// waitForTurn releases the lock and waits until a request has ended, turnRecheckInterval has passed or ctx ends.
func (g *Guard) waitForTurn(ctx context.Context) call.Reason {
	if g.waiting >= maxWaiting {
		return call.ReasonOverloaded
	}
	g.waiting++
	released := g.requestEnded
	g.mu.Unlock()
	timer := time.NewTimer(turnRecheckInterval)
	defer timer.Stop()
	select {
	case <-released:
	case <-timer.C:
	case <-ctx.Done():
	}
	g.mu.Lock()
	g.waiting--
	if ctx.Err() != nil {
		return call.ReasonQueueTimeout
	}
	return ""
}

// Leave records the end of a request. After a broken connection it first finds out whether the target has died, so that
// the answer can say so.
func (g *Guard) Leave(ticket poison.Ticket, end poison.Outcome) {
	g.mu.Lock()
	g.suspects.Done(ticket, end, clock.WallNow())
	close(g.requestEnded)
	g.requestEnded = make(chan struct{})
	dead := g.targetDead
	g.mu.Unlock()
	if end != poison.Failed || dead {
		return
	}
	for _, delay := range probeDelaysBeforeAnswer {
		time.Sleep(delay)
		if g.probe() {
			return
		}
	}
	for _, delay := range laterProbeDelays {
		time.AfterFunc(delay, func() { g.probe() })
	}
}

// Run probes a dead target until ctx ends, to notice its restart.
func (g *Guard) Run(ctx context.Context) {
	periodic.Run(ctx, probeInterval, func(context.Context) {
		if g.Dead() {
			g.probe()
		}
	})
}

// Dead reports whether the target has died and does not accept connections yet.
func (g *Guard) Dead() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targetDead
}

// probe opens a connection to the target and reports whether the target is dead.
func (g *Guard) probe() bool {
	g.probeMu.Lock()
	defer g.probeMu.Unlock()
	result := probe.Dial(g.config.Target)
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case result == probe.Listening:
		g.targetDead = false
	case result == probe.Refused && !g.targetDead:
		g.targetDied()
	}
	return g.targetDead
}

func (g *Guard) targetDied() {
	g.targetDead = true
	if g.config.StopPlanned() {
		return
	}
	g.suspects.TargetDied(rand.Uint64(), clock.WallNow())
	notices, revision := g.suspects.Notices(g.sentRevision, maxNoticesPerMessage, clock.WallNow())
	g.sentRevision = revision
	_ = level.Warn(g.config.Logger).Log("msg", "target died with requests in flight", "suspects", len(notices))
	if len(notices) > 0 {
		g.config.SendNotices(notices)
	}
}

// Standing returns what is known about the fingerprint.
func (g *Guard) Standing(fingerprint uint64) poison.Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.Status(fingerprint, clock.WallNow())
}

// Crashes returns the recorded crashes of the fingerprint.
func (g *Guard) Crashes(fingerprint uint64) []poison.Crash {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.Crashes(fingerprint)
}

// Learn adds crashes that another node has recorded.
func (g *Guard) Learn(fingerprint uint64, crashes []poison.Crash) {
	if len(crashes) == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.addCrashes(fingerprint, crashes)
}

func (g *Guard) addCrashes(fingerprint uint64, crashes []poison.Crash) {
	if len(crashes) > 0 {
		g.suspects.Merge([]poison.Notice{{Fingerprint: fingerprint, Crashes: crashes}}, clock.WallNow())
	}
}

// Merge merges notices from a peer.
func (g *Guard) Merge(notices []poison.Notice) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspects.Merge(notices, clock.WallNow())
}

// Notices returns up to limit notices that changed after the given revision, and the revision to ask for next.
func (g *Guard) Notices(after uint64, limit int) ([]poison.Notice, uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.suspects.Notices(after, limit, clock.WallNow())
}

// Runner returns the node whose target runs the suspects of the service. It is in this node's failure domain if that
// has a target of the service, otherwise in the first other domain that has one.
func (g *Guard) Runner(service string, exclude map[string]bool) (vm.VM, bool) {
	if v, ok := g.suspectTargetIn(g.config.FailureDomain, service, exclude); ok {
		return v, true
	}
	for _, domain := range g.config.Snapshots.Current().Services.FailureDomains {
		if v, ok := g.suspectTargetIn(domain, service, exclude); ok {
			return v, true
		}
	}
	return vm.VM{}, false
}

// suspectTargetIn returns the node that runs the suspects in the domain; ok is false if there is none or it is excluded.
func (g *Guard) suspectTargetIn(domain, service string, exclude map[string]bool) (vm.VM, bool) {
	snapshot := g.config.Snapshots.Current()
	var names []string
	for _, v := range snapshot.VMsOfService(service) {
		if v.FailureDomain == domain && g.config.Membership.MayServe(v) {
			names = append(names, v.Name)
		}
	}
	if len(names) == 0 {
		return vm.VM{}, false
	}
	name := poison.SuspectTarget(service, slices.Clip(names))
	if exclude[name] {
		return vm.VM{}, false
	}
	return snapshot.VM(name)
}
