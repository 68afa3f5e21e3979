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
	// maintainInterval is the interval at which seat ownership, returns and the VM list are updated.
	maintainInterval = 20 * time.Millisecond
	// prefetchInterval is the interval of prefetches. It is longer than maintainInterval, so that one message covers the
	// demand of a longer time.
	prefetchInterval = 100 * time.Millisecond
	// reportInterval is the interval at which missing seat reports and releases are requested.
	reportInterval = 250 * time.Millisecond
	// readyDelay is how long, beyond one lease, all own seats must be usable before the node is ready.
	readyDelay clock.Millis = 1000
	// minRetryAfter is the minimum delay that a refused caller is given before its next attempt.
	minRetryAfter clock.Millis = 50
)

// Snapshots provides the published values in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Config holds the dependencies and times of Limits.
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
	// Fence and Margin are those of package seat, Lease is that of package limit; 0 means the default.
	Fence  clock.Millis
	Margin clock.Millis
	Lease  clock.Millis
	// PauseThreshold is the longest gap between two runs of maintain that does not count as a pause of the process.
	PauseThreshold clock.Millis
	Logger         log.Logger
	Metrics        *expvar.Map
}

// Limits is the part of the fleet-wide rate limits that one node enforces.
type Limits struct {
	Config
	counters *counters

	mu               sync.Mutex
	ownership        *seatOwnership
	issuer           *limit.Issuer
	tokenCache       *limit.TokenCache
	snapshot         *fleet.Snapshot
	limits           map[string]limit.Limit
	vmLists          map[string]seat.List
	ownersByAccount  map[string][]limit.Owner
	vms              map[string]vm.VM
	unreachableUntil map[string]clock.Millis
	pendingReturns   map[string]*pendingReturn
	searches         map[string]*tokenSearch
	messageBudgets   map[string]*messageBudget
	// lastSearchFailed holds the accounts whose last search found no token at any owner.
	lastSearchFailed map[string]bool
	slowUntil        clock.Millis
	// allSeatsUsableSince is the time since which the node can use all its seats, or clock.Never.
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
		vms: make(map[string]vm.VM), unreachableUntil: make(map[string]clock.Millis), pendingReturns: make(map[string]*pendingReturn),
		searches: make(map[string]*tokenSearch), messageBudgets: make(map[string]*messageBudget),
		lastSearchFailed: make(map[string]bool),
		lastMaintained:   config.Clock.Now(), allSeatsUsableSince: clock.Never, rotation: rand.Uint64(),
	}
	l.ownership = newSeatOwnership(config)
	l.issuer = limit.NewIssuer(l.ownership.domainSeats, config.Lease)
	l.counters = newCounters(config.Metrics)
	return l
}

// Admit takes one token of the account. If the fleet has none left, retryAfter says when one is expected.
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
	tokenIntervalMs := 1000 / a.RatePerSecond
	return false, minRetryAfter + clock.Millis(tokenIntervalMs*(1+rand.Float64()))
}

// Ready reports whether this node's seats have been usable for long enough to have accrued tokens. A fleet that has
// just started would otherwise refuse calls within the rate.
func (l *Limits) Ready() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ready
}

// Run keeps the seats, the token cache and the reports up to date until ctx ends.
func (l *Limits) Run(ctx context.Context) {
	var group sync.WaitGroup
	group.Go(func() { periodic.Run(ctx, prefetchInterval, l.prefetchTokens) })
	group.Go(func() { periodic.Run(ctx, reportInterval, l.refreshSeats) })
	periodic.Run(ctx, maintainInterval, l.maintain)
	group.Wait()
}

// Close returns all leased tokens. The node calls it after its last request; once the node has ended, its seats issue
// no tokens.
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

// ServiceSeats is the fenced ownership of the seats of a service. It is safe for concurrent use.
type ServiceSeats struct {
	limits *Limits
}

// Owned reports whether this node may use the seat, and since when without interruption.
func (s *ServiceSeats) Owned(key string, _ clock.Millis) (since clock.Millis, ok bool) {
	s.limits.mu.Lock()
	defer s.limits.mu.Unlock()
	return s.limits.ownership.serviceSeats.OwnedSince(key, s.limits.nowLocked())
}

// nowLocked returns the current time; the caller holds the lock. After a pause of the process it first discards the
// seat confirmations, so that no goroutine relies on them before the next run of maintain.
func (l *Limits) nowLocked() clock.Millis {
	now := l.Clock.Now()
	if now-l.lastMaintained > l.PauseThreshold {
		l.lastMaintained = now
		l.slowUntil = now + slowPeriod
		l.ownership.discardConfirmations(now)
		l.counters.pauses.Add(1)
		_ = level.Warn(l.Logger).Log("msg", "process was paused, seats must be confirmed again")
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

// applySnapshot puts a snapshot into effect. VMs that are leaving get no seats, so that their seats move while they can
// still hand them over.
func (l *Limits) applySnapshot(snapshot *fleet.Snapshot, now clock.Millis) {
	version := snapshot.Versions[fleet.VMs]
	lists := make(map[string]seat.List)
	for _, domain := range snapshot.Services.FailureDomains {
		lists[domain] = seat.NewList(version, liveVMNames(snapshot.VMsOfDomain(domain), ""))
	}
	for _, v := range snapshot.VMs.VMs {
		// Removed VMs are kept, because they may still release seats.
		l.vms[v.Name] = v
	}
	localVMs := snapshot.VMsOfDomain(l.FailureDomain)
	l.ownership.setLists(lists[l.FailureDomain], seat.NewList(version, liveVMNames(localVMs, l.Service)), now)
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

// liveVMNames returns the names of the live VMs, limited to one service unless service is empty.
func liveVMNames(vms []vm.VM, service string) []string {
	var live []string
	for _, v := range vms {
		if v.State == vm.Live && (service == "" || v.Service == service) {
			live = append(live, v.Name)
		}
	}
	return live
}

// seatOwners returns the owners of the account's seats under the current VM lists.
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
