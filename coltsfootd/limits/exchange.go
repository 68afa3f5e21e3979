package limits

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/limit"
	"coltsfootusher.example/core/seat"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

// pendingReturnTTL is how long returned leases wait for a draw from the same issuer that can carry them.
const pendingReturnTTL clock.Millis = 500

// pendingReturn is a batch of leases that is too small to be returned in a message of its own.
type pendingReturn struct {
	incarnation uint64
	leases      []limit.Lease
	createdAt   clock.Millis
}

// ControlClients provides clients for control messages to other nodes.
type ControlClients interface {
	// Control returns a client for the node on v.
	Control(v vm.VM) peerpb.Control
}

// drawFrom requests tokens from the node. It returns how many were granted and whether the node answered. With borrow
// set, the node may also pass on tokens from its cache.
func (l *Limits) drawFrom(node string, demands []limit.Demand, borrow bool) (granted float64, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), peerTimeout)
	defer cancel()
	request := &peerpb.DrawRequest{Node: l.Node, Incarnation: l.Incarnation}
	l.mu.Lock()
	sentAt := l.nowLocked()
	for _, d := range demands {
		request.Demands = append(request.Demands, &peerpb.TokenDemand{
			Account: d.Account, Tokens: d.Tokens, LeaseMs: int64(d.MaxLease), Borrow: borrow, Whole: l.lastSearchFailed[d.Account],
		})
	}
	v := l.vms[node]
	if v.FailureDomain == l.FailureDomain && l.ownership.reportDue(node, sentAt) {
		request.Report = l.ownership.report(node, sentAt)
	}
	if p := l.pendingReturns[node]; p != nil {
		delete(l.pendingReturns, node)
		if sentAt-p.createdAt < pendingReturnTTL {
			request.Returned, request.ReturnedIncarnation = encodeLeases(p.leases), p.incarnation
		}
	}
	drawID := l.tokenCache.StartDraw(node, demands, sentAt)
	l.mu.Unlock()
	l.counters.draws.Add(1)
	reply, err := l.ControlClients.Control(v).Draw(ctx, request)

	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.nowLocked()
	if err != nil {
		l.tokenCache.CancelDraw(drawID)
		l.markUnreachable(node, sentAt, now, err)
		return 0, false
	}
	delete(l.unreachableUntil, node)
	if now-sentAt >= limit.CallLease/2 {
		l.slowUntil = now + slowPeriod
	}
	leases := decodeLeases(reply.GetLeases())
	l.tokenCache.FinishDraw(drawID, reply.GetIncarnation(), leases, now)
	if request.Report != nil {
		l.ownership.acceptReply(reply.GetReport(), node, sentAt, now)
	}
	granted = totalTokens(leases)
	l.counters.drawn.Add(granted)
	return granted, true
}

// markUnreachable excludes a node that did not answer from further requests for unreachableTime. A timeout says nothing
// about the node while this process itself is slow, for example after a pause.
func (l *Limits) markUnreachable(node string, sentAt, now clock.Millis, err error) {
	if now >= l.slowUntil && now-sentAt <= 2*clock.FromDuration(peerTimeout) {
		l.unreachableUntil[node] = now + unreachableTime
	}
	_ = level.Debug(l.Logger).Log("msg", "node did not answer", "peer", node, "err", err)
}

// returnLeases returns leases to their issuers. Batches that are too small for a message of their own wait for the next
// draw or expire.
func (l *Limits) returnLeases(ctx context.Context, returns []limit.ReturnBatch, sendAll bool) {
	var group sync.WaitGroup
	for _, r := range returns {
		l.mu.Lock()
		now := l.nowLocked()
		v, down := l.vms[r.Node], now < l.unreachableUntil[r.Node]
		switch {
		case r.Node == l.Node:
			if r.Incarnation == l.Incarnation {
				l.issuer.Return(r.Leases, now)
			}
		case down:
		case sendAll || r.WorthSending():
			group.Go(func() { l.sendReturn(ctx, v, r) })
		default:
			l.deferReturn(r, now)
		}
		l.mu.Unlock()
	}
	group.Wait()
}

func (l *Limits) deferReturn(r limit.ReturnBatch, now clock.Millis) {
	p := l.pendingReturns[r.Node]
	if p == nil || p.incarnation != r.Incarnation || now-p.createdAt >= pendingReturnTTL {
		p = &pendingReturn{incarnation: r.Incarnation, createdAt: now}
		l.pendingReturns[r.Node] = p
	}
	p.leases = append(p.leases, r.Leases...)
}

func (l *Limits) sendReturn(ctx context.Context, v vm.VM, r limit.ReturnBatch) {
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	l.counters.returns.Add(1)
	sentAt := l.Clock.Now()
	_, err := l.ControlClients.Control(v).ReturnTokens(ctx, &peerpb.ReturnTokensRequest{
		Node: l.Node, Incarnation: r.Incarnation, Leases: encodeLeases(r.Leases),
	})
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.markUnreachable(v.Name, sentAt, l.nowLocked(), err)
	}
}

// refreshSeats exchanges reports with the VMs whose last report is too old, asks previous owners to release seats, and
// updates the gauges.
func (l *Limits) refreshSeats(ctx context.Context) {
	l.mu.Lock()
	now := l.nowLocked()
	toAsk := l.ownership.vmsToAsk(now)
	requests := l.releaseRequests(now)
	l.updateGauges(now)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, name := range toAsk {
		group.Go(func() { l.exchangeReports(ctx, name) })
	}
	for owner, seats := range requests {
		group.Go(func() { l.requestRelease(ctx, owner, seats) })
	}
	group.Wait()
}

func (l *Limits) exchangeReports(ctx context.Context, node string) {
	l.mu.Lock()
	sentAt := l.nowLocked()
	v, report := l.vms[node], l.ownership.report(node, sentAt)
	l.mu.Unlock()
	l.counters.reports.Add(1)
	reply, err := l.ControlClients.Control(v).ReportSeats(ctx, report)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.nowLocked()
	if err != nil {
		l.markUnreachable(node, sentAt, now, err)
		return
	}
	l.ownership.acceptReply(reply, node, sentAt, now)
}

// releaseRequests returns the seats to request from their previous owners, grouped by owner.
func (l *Limits) releaseRequests(now clock.Millis) map[string][]*peerpb.SeatRequest {
	byOwner := make(map[string][]*peerpb.SeatRequest)
	if now >= l.ownership.settledAt || l.snapshot == nil {
		return byOwner
	}
	collect := func(ownership *seat.Ownership, name string, index int, service bool) {
		for _, r := range ownership.ReleaseRequests([]string{seat.Key(name, l.FailureDomain, index)}, now) {
			byOwner[r.Owner] = append(byOwner[r.Owner], &peerpb.SeatRequest{
				Name: name, Index: int32(index), Service: service, VmsVersion: r.Version,
			})
		}
	}
	for id := range l.limits {
		for i := range l.seatCount(id) {
			collect(l.ownership.domainSeats, id, i, false)
		}
	}
	for i := range l.snapshot.Services.SeatsPerDomain {
		collect(l.ownership.serviceSeats, l.Service, i, true)
	}
	return byOwner
}

func (l *Limits) seatCount(id string) int {
	return l.limits[id].Seats(len(l.snapshot.Services.FailureDomains), l.snapshot.Services.SeatsPerDomain)
}

func (l *Limits) requestRelease(ctx context.Context, owner string, seats []*peerpb.SeatRequest) {
	l.mu.Lock()
	v := l.vms[owner]
	l.mu.Unlock()
	l.counters.releases.Add(1)
	reply, err := l.ControlClients.Control(v).ReleaseSeat(ctx, &peerpb.ReleaseSeatRequest{Node: l.Node, Seats: seats})
	if err != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.nowLocked()
	asked := make(map[string]*peerpb.SeatRequest, len(seats))
	for _, s := range seats {
		asked[replyKey(s, l.FailureDomain)] = s
	}
	for _, balance := range reply.GetReleased() {
		s := asked[balance.GetKey()]
		if s == nil {
			continue
		}
		release := seat.Release{Key: seat.Key(s.GetName(), l.FailureDomain, int(s.GetIndex())), LastOwned: balance.GetLastOwned()}
		ownership := l.ownership.domainSeats
		if s.GetService() {
			ownership = l.ownership.serviceSeats
		}
		if ownership.HandleRelease(release, now) && !s.GetService() {
			l.issuer.AcceptSeat(s.GetName(), int(s.GetIndex()), balance.GetTokens(), now)
		}
	}
}

// replyKey returns the key of a seat in a release reply. A service and an account may have the same name, so seats of
// services get a prefix.
func replyKey(s *peerpb.SeatRequest, domain string) string {
	key := seat.Key(s.GetName(), domain, int(s.GetIndex()))
	if s.GetService() {
		return "service/" + key
	}
	return key
}

// updateGauges updates the gauges and whether the node is ready.
func (l *Limits) updateGauges(now clock.Millis) {
	if l.snapshot == nil {
		return
	}
	var owned, waiting int64
	var available float64
	for id := range l.limits {
		available += l.issuer.Available(id, now)
		for i := range l.seatCount(id) {
			key := seat.Key(id, l.FailureDomain, i)
			if _, ok := l.ownership.domainSeats.OwnedSince(key, now); ok {
				owned++
			} else if l.ownership.domainSeats.Owner(key) == l.Node {
				waiting++
			}
		}
	}
	if waiting > 0 {
		l.allSeatsUsableSince = clock.Never
	} else if l.allSeatsUsableSince == clock.Never {
		l.allSeatsUsableSince = now
	}
	l.ready = l.ready || l.allSeatsUsableSince != clock.Never && now >= l.allSeatsUsableSince+l.Lease+readyDelay
	l.counters.seatsOwned.Set(owned)
	l.counters.fencesWaiting.Set(waiting)
	l.counters.available.Set(available)
	l.counters.held.Set(l.tokenCache.Held(now))
}

func encodeLeases(leases []limit.Lease) []*peerpb.TokenLease {
	encoded := make([]*peerpb.TokenLease, 0, len(leases))
	for _, lease := range leases {
		encoded = append(encoded, &peerpb.TokenLease{
			Account: lease.Account, Seat: int32(lease.Seat), LeaseId: lease.ID, Tokens: lease.Tokens,
			LeaseMs: int64(lease.Duration), Fill: lease.Fill, Minter: lease.Issuer.Node, MinterIncarnation: lease.Issuer.Incarnation,
		})
	}
	return encoded
}

func decodeLeases(encoded []*peerpb.TokenLease) []limit.Lease {
	leases := make([]limit.Lease, 0, len(encoded))
	for _, w := range encoded {
		leases = append(leases, limit.Lease{
			Account: w.GetAccount(), Seat: int(w.GetSeat()), ID: w.GetLeaseId(), Tokens: w.GetTokens(),
			Duration: clock.Millis(w.GetLeaseMs()), Fill: w.GetFill(),
			Issuer: limit.IssuerID{Node: w.GetMinter(), Incarnation: w.GetMinterIncarnation()},
		})
	}
	return leases
}
