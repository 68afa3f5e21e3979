package limits

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/limit"
	"coltsfootusher.example/core/seat"
	"coltsfootusher.example/core/vm"
)

const (
	// maintainInterval is the interval of the fence, of returns and of list changes.
	maintainInterval = 20 * time.Millisecond
	// prefetchInterval is the interval of draws ahead of demand, so that one message serves the needs of a longer time.
	prefetchInterval = 100 * time.Millisecond
	// reportInterval is the interval at which missing reports and releases are asked for.
	reportInterval = 250 * time.Millisecond
	// readyDelay is the time after the first minting until the node counts as ready.
	readyDelay clock.Millis = 1000
	// minRetryAfter is the least time after which a refused caller is told to come back.
	minRetryAfter clock.Millis = 50
)

// Snapshots yields the published values in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Config are the dependencies and times of Limits.
type Config struct {
	Node           string
	FailureDomain  string
	Service        string
	Incarnation    uint64
	Clock          clock.Clock
	Snapshots      Snapshots
	ControlClients ControlClients
	// Sender returns the node that signed the control message being handled.
	Sender func(ctx context.Context) string
	// Fence, Margin and Lease are those of packages seat and limit; 0 means their defaults.
	Fence  clock.Millis
	Margin clock.Millis
	Lease  clock.Millis
	// PauseThreshold is the longest gap between two ticks that does not count as a pause of the process.
	PauseThreshold clock.Millis
	Logger         log.Logger
	Metrics        *expvar.Map
}

// Limits is one node's part in the fleet-wide limits.
type Limits struct {
	Config
	counters *counters

	mu                sync.Mutex
	ownership         *seatOwnership
	issuer            *limit.Issuer
	tokenCache        *limit.TokenCache
	snapshot          *fleet.Snapshot
	limits            map[string]limit.Limit
	vmLists           map[string]seat.List
	ownersByAccount   map[string][]limit.Owner
	vms               map[string]vm.VM
	unresponsiveUntil map[string]clock.Millis
	pendingReturns    map[string]*pendingReturn
	searches          map[string]*tokenSearch
	messageBudgets    map[string]*messageBudget
	// lastSearchFailed holds the accounts whose last search was in vain.
	lastSearchFailed map[string]bool
	slowUntil        clock.Millis
	// allSeatsUsableSince is the time at which the node could use all its seats for the first time, or clock.Never.
	allSeatsUsableSince clock.Millis
	ready               bool
	lastMaintained      clock.Millis
	rotation            uint64
}

// New returns limits that own no seat until Run has read the published values.
func New(config Config) *Limits {
	if config.Fence == 0 {
		config.Fence = seat.DefaultFence
	}
	if config.Lease == 0 {
		config.Lease = limit.DefaultLease
	}
	if config.Margin == 0 {
		config.Margin = seat.DefaultMargin
	}
	l := &Limits{
		Config: config, tokenCache: limit.NewTokenCache(limit.TokenCacheConfig{}), vmLists: make(map[string]seat.List),
		vms: make(map[string]vm.VM), unresponsiveUntil: make(map[string]clock.Millis), pendingReturns: make(map[string]*pendingReturn),
		searches: make(map[string]*tokenSearch), messageBudgets: make(map[string]*messageBudget), lastSearchFailed: make(map[string]bool),
		lastMaintained: config.Clock.Now(), allSeatsUsableSince: clock.Never, rotation: rand.Uint64(),
	}
	l.ownership = newSeatOwnership(config)
	l.issuer = limit.NewIssuer(l.ownership.domainSeats, config.Lease)
	l.counters = newCounters(config.Metrics)
	return l
}

// Admit takes one token of the account; if there is none in the fleet, retryAfter says when one is expected.
func (l *Limits) Admit(ctx context.Context, a account.Account) (ok bool, retryAfter clock.Millis) {
	l.mu.Lock()
	now := l.nowLocked()
	l.tokenCache.RecordCall(a.ID, now)
	ok = l.takeToken(a.ID, now)
	l.mu.Unlock()
	if !ok {
		ok = l.searchForToken(ctx, a.ID)
	}
	if ok {
		l.counters.admitted.Add(1)
		return true, 0
	}
	l.counters.refused.Add(a.ID, 1)
	gap := 1000 / a.RatePerSecond
	return false, minRetryAfter + clock.Millis(gap*(1+rand.Float64()))
}

// Ready reports whether this node's seats were usable for long enough to hold tokens; before that, a fleet that has
// just started refuses calls inside the rate.
func (l *Limits) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// Run keeps the seats, the stock and the reports up to date until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { periodic.Run(ctx, prefetchInterval, l.prefetchTokens) })
	group.Go(func() { periodic.Run(ctx, reportInterval, l.refreshSeats) })
	periodic.Run(ctx, maintainInterval, l.maintain)
	group.Wait()
}

// Close returns all leased tokens. The node calls it after its last request; its seats mint nothing once it has ended.
func (l *Limits) Close(ctx context.Context) {
	l.mu.Lock()
	returns := l.tokenCache.CollectAll(l.nowLocked())
	l.mu.Unlock()
	l.returnLeases(ctx, returns, true)
}

// ServiceSeats returns the ownership of the seats of this node's service among the VMs of the domain that run it.
func (l *Limits) ServiceSeats() *ServiceSeats {
	return &ServiceSeats{limits: l}
}

// ServiceSeats is the fenced ownership of the seats of a service; it is safe for concurrent use.
type ServiceSeats struct {
	limits *Limits
}

// Owned reports whether this node may use the seat, and since when it could without interruption.
func (s *ServiceSeats) Owned(key string, _ clock.Millis) (since clock.Millis, ok bool) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.ownership.serviceSeats.OwnedSince(key, s.limits.nowLocked())
}

// nowLocked returns the time for an operation under the lock. After a pause it first discards the confirmations of the
// seats, so that no goroutine uses them before the next tick does so.
func (l *Limits) nowLocked() clock.Millis {
	now := l.Clock.Now()
	if now-l.lastMaintained > l.PauseThreshold {
		l.lastMaintained = now
		l.slowUntil = now + slowPeriod
		l.ownership.discardConfirmations(now)
		l.counters.pauses.Add(1)
		_ = level.Warn(l.Logger).Log("msg", "process was paused, seats are to be confirmed again")
	}
	return now
}

func (l *Limits) maintain(ctx context.Context) {
	l.mu.Lock()
	now := l.nowLocked()
	l.lastMaintained = now
	if snapshot := l.Snapshots.Current(); snapshot != l.snapshot && snapshot.Complete() {
		l.applySnapshot(snapshot, now)
	}
	l.ownership.tick(now)
	returns := l.tokenCache.CollectReturns(now)
	l.mu.Unlock()
	if len(returns) > 0 {
		go l.returnLeases(ctx, returns, false)
	}
}

// applySnapshot takes a snapshot into use. VMs that are leaving get no seats, so that theirs move while they can hand them over.
func (l *Limits) applySnapshot(snapshot *fleet.Snapshot, now clock.Millis) {
	version := snapshot.Versions[fleet.VMs]
	lists := make(map[string]seat.List)
	for _, domain := range snapshot.Services.FailureDomains {
		lists[domain] = seat.NewList(version, liveVMNames(snapshot.VMsOfDomain(domain), ""))
	}
	for _, v := range snapshot.VMs.VMs {
		// Removed VMs stay known, because they may still release seats.
		l.vms[v.Name] = v
	}
	local := snapshot.VMsOfDomain(l.FailureDomain)
	l.ownership.setLists(lists[l.FailureDomain], seat.NewList(version, liveVMNames(local, l.Service)), now)
	limits := make(map[string]limit.Limit, len(snapshot.Accounts.Accounts))
	for _, a := range snapshot.Accounts.Accounts {
		limits[a.ID] = limit.Limit{RatePerSecond: a.RatePerSecond, Burst: a.Burst}
	}
	l.issuer.SetLimits(limit.Layout{
		Domain: l.FailureDomain, Domains: len(snapshot.Services.FailureDomains), SeatsPerDomain: snapshot.Services.SeatsPerDomain,
	}, limits, now)
	l.tokenCache.SetLimits(limits)
	l.snapshot, l.vmLists, l.limits = snapshot, lists, limits
	l.ownersByAccount = make(map[string][]limit.Owner)
}

// liveVMNames returns the live VMs, of one service if it is not empty.
func liveVMNames(vms []vm.VM, service string) []string {
	var live []string
	for _, v := range vms {
		if v.State == vm.Live && (service == "" || v.Service == service) {
			live = append(live, v.Name)
		}
	}
	return live
}

// seatOwners returns the owners of the account's seats under the lists in use.
func (l *Limits) seatOwners(id string) []limit.Owner {
	if l.snapshot == nil {
		return nil
	}
	owners, known := l.ownersByAccount[id]
	if !known {
		seats := l.limits[id].Seats(len(l.snapshot.Services.FailureDomains), l.snapshot.Services.SeatsPerDomain)
		owners = limit.Owners(id, l.Node, l.FailureDomain, l.vmLists, seats)
		l.ownersByAccount[id] = owners
	}
	return owners
}
