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

// pendingLife is the time for which returns wait for a draw from the same minter to go with.
const pendingLife clock.Millis = 500

// pendingReturn are leases whose return is not worth a message.
type pendingReturn struct {
	incarnation uint64
	leases      []limit.Lease
	at          clock.Millis
}

// ControlClients sends control messages to the nodes of other VMs.
type ControlClients interface {
	// Control returns a client of the node of v.
	Control(v vm.VM) peerpb.Control
}

// drawFrom asks the node for tokens and returns how many it granted, and whether it answered; borrow also takes what the
// node holds itself.
func (l *Limits) drawFrom(node string, demands []limit.Demand, borrow bool) (gained float64, answered bool) {
	ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
	defer cancel()
	request := &peerpb.DrawRequest{Node: l.Node, Incarnation: l.Incarnation}
	l.mu.Lock()
	sentAt := l.begin()
	for _, d := range demands {
		request.Demands = append(request.Demands, &peerpb.TokenDemand{
			Account: d.Account, Tokens: d.Tokens, LeaseMs: int64(d.MaxLease), Borrow: borrow, Whole: l.futile[d.Account],
		})
	}
	v := l.vms[node]
	if v.FailureDomain == l.FailureDomain && l.seats.reportDue(node, sentAt) {
		request.Report = l.seats.report(node, sentAt)
	}
	if p := l.pending[node]; p != nil {
		delete(l.pending, node)
		if sentAt-p.at < pendingLife {
			request.Returned, request.ReturnedIncarnation = encodeLeases(p.leases), p.incarnation
		}
	}
	number := l.wallet.StartDraw(node, demands, sentAt)
	l.mu.Unlock()
	l.counters.draws.Add(1)
	reply, err := l.ControlClients.Control(v).Draw(ctx, request)

	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.begin()
	if err != nil {
		l.wallet.CancelDraw(number)
		l.failed(node, sentAt, now, err)
		return 0, false
	}
	delete(l.down, node)
	if now-sentAt >= limit.CallLease/2 {
		l.slowUntil = now + slowPeriod
	}
	leases := fromWire(reply.GetLeases())
	l.wallet.FinishDraw(number, reply.GetIncarnation(), leases, now)
	if request.Report != nil {
		l.seats.acceptReply(reply.GetReport(), node, sentAt, now)
	}
	gained = sum(leases)
	l.counters.drawn.Add(gained)
	return gained, true
}

// failed keeps a node that did not answer from being asked for a while. While this process itself is late, for
// example after a pause, a timeout says nothing about the node.
func (l *Limits) failed(node string, sentAt, now clock.Millis, err error) {
	if now >= l.slowUntil && now-sentAt <= 2*clock.FromDuration(askTimeout) {
		l.down[node] = now + unresponsiveTime
	}
	_ = level.Debug(l.Logger).Log("msg", "node did not answer", "peer", node, "err", err)
}

// giveBack returns leases to their minters. Batches that are not worth a message wait for the next draw, or lapse.
func (l *Limits) giveBack(ctx context.Context, returns []limit.ReturnBatch, all bool) {
	var group sync.WaitGroup
	for _, r := range returns {
		l.mu.Lock()
		now := l.begin()
		v, down := l.vms[r.Node], now < l.down[r.Node]
		switch {
		case r.Node == l.Node:
			if r.Incarnation == l.Incarnation {
				l.minter.Return(r.Leases, now)
			}
		case down:
		case all || r.WorthSending():
			group.Go(func() { l.sendBack(ctx, v, r) })
		default:
			l.keepPending(r, now)
		}
		l.mu.Unlock()
	}
	group.Wait()
}

func (l *Limits) keepPending(r limit.ReturnBatch, now clock.Millis) {
	p := l.pending[r.Node]
	if p == nil || p.incarnation != r.Incarnation || now-p.at >= pendingLife {
		p = &pendingReturn{incarnation: r.Incarnation, at: now}
		l.pending[r.Node] = p
	}
	p.leases = append(p.leases, r.Leases...)
}

func (l *Limits) sendBack(ctx context.Context, v vm.VM, r limit.ReturnBatch) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	l.counters.returns.Add(1)
	sentAt := l.Clock.Now()
	_, err := l.ControlClients.Control(v).ReturnTokens(ctx, &peerpb.ReturnTokensRequest{
		Node: l.Node, Incarnation: r.Incarnation, Leases: encodeLeases(r.Leases),
	})
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.failed(v.Name, sentAt, l.begin(), err)
	}
}

// refreshSeats exchanges reports with the VMs whose last one is old, asks earlier owners for seats, and updates
// the metrics.
func (l *Limits) refreshSeats(ctx context.Context) {
	l.mu.Lock()
	now := l.begin()
	ask := l.seats.stale(now)
	requests := l.releaseRequests(now)
	l.updateGauges(now)
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var group sync.WaitGroup
	for _, name := range ask {
		group.Go(func() { l.exchangeReports(ctx, name) })
	}
	for owner, seats := range requests {
		group.Go(func() { l.requestRelease(ctx, owner, seats) })
	}
	group.Wait()
}

func (l *Limits) exchangeReports(ctx context.Context, node string) {
	l.mu.Lock()
	sentAt := l.begin()
	v, report := l.vms[node], l.seats.report(node, sentAt)
	l.mu.Unlock()
	l.counters.reports.Add(1)
	reply, err := l.ControlClients.Control(v).ReportSeats(ctx, report)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.begin()
	if err != nil {
		l.failed(node, sentAt, now, err)
		return
	}
	l.seats.acceptReply(reply, node, sentAt, now)
}

// releaseRequests returns the seats to ask for by their earlier owner.
func (l *Limits) releaseRequests(now clock.Millis) map[string][]*peerpb.SeatRequest {
	byOwner := make(map[string][]*peerpb.SeatRequest)
	if now >= l.seats.settled || l.applied == nil {
		return byOwner
	}
	collect := func(fence *seat.Ownership, name string, index int, service bool) {
		for _, r := range fence.ReleaseRequests([]string{seat.Key(name, l.FailureDomain, index)}, now) {
			byOwner[r.Owner] = append(byOwner[r.Owner], &peerpb.SeatRequest{
				Name: name, Index: int32(index), Service: service, VmsVersion: r.Version,
			})
		}
	}
	for id := range l.limits {
		for i := range l.seatCount(id) {
			collect(l.seats.domain, id, i, false)
		}
	}
	for i := range l.applied.Services.SeatsPerDomain {
		collect(l.seats.service, l.Service, i, true)
	}
	return byOwner
}

func (l *Limits) seatCount(id string) int {
	return l.limits[id].Seats(len(l.applied.Services.FailureDomains), l.applied.Services.SeatsPerDomain)
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
	now := l.begin()
	asked := make(map[string]*peerpb.SeatRequest, len(seats))
	for _, s := range seats {
		asked[replyKey(s, l.FailureDomain)] = s
	}
	for _, b := range reply.GetReleased() {
		s := asked[b.GetKey()]
		if s == nil {
			continue
		}
		release := seat.Release{Key: seat.Key(s.GetName(), l.FailureDomain, int(s.GetIndex())), LastOwned: b.GetLastOwned()}
		fence := l.seats.domain
		if s.GetService() {
			fence = l.seats.service
		}
		if fence.HandleRelease(release, now) && !s.GetService() {
			l.minter.AcceptSeat(s.GetName(), int(s.GetIndex()), b.GetTokens(), now)
		}
	}
}

// replyKey names a seat in a reply; services and accounts may have the same names.
func replyKey(s *peerpb.SeatRequest, domain string) string {
	key := seat.Key(s.GetName(), domain, int(s.GetIndex()))
	if s.GetService() {
		return "service/" + key
	}
	return key
}

// updateGauges updates the gauges.
func (l *Limits) updateGauges(now clock.Millis) {
	if l.applied == nil {
		return
	}
	var owned, waiting int64
	var available float64
	for id := range l.limits {
		available += l.minter.Available(id, now)
		for i := range l.seatCount(id) {
			key := seat.Key(id, l.FailureDomain, i)
			if _, ok := l.seats.domain.OwnedSince(key, now); ok {
				owned++
			} else if l.seats.domain.Owner(key) == l.Node {
				waiting++
			}
		}
	}
	if waiting > 0 {
		l.mintingSince = clock.Never
	} else if l.mintingSince == clock.Never {
		l.mintingSince = now
	}
	l.ready = l.ready || l.mintingSince != clock.Never && now >= l.mintingSince+l.Lease+readyDelay
	l.counters.seatsOwned.Set(owned)
	l.counters.fencesWaiting.Set(waiting)
	l.counters.available.Set(available)
	l.counters.held.Set(l.wallet.Held(now))
}

func encodeLeases(leases []limit.Lease) []*peerpb.TokenLease {
	wire := make([]*peerpb.TokenLease, 0, len(leases))
	for _, lease := range leases {
		wire = append(wire, &peerpb.TokenLease{
			Account: lease.Account, Seat: int32(lease.Seat), LeaseId: lease.ID, Tokens: lease.Tokens,
			LeaseMs: int64(lease.Duration), Fill: lease.Fill, Minter: lease.Issuer.Node, MinterIncarnation: lease.Issuer.Incarnation,
		})
	}
	return wire
}

func fromWire(wire []*peerpb.TokenLease) []limit.Lease {
	leases := make([]limit.Lease, 0, len(wire))
	for _, w := range wire {
		leases = append(leases, limit.Lease{
			Account: w.GetAccount(), Seat: int(w.GetSeat()), ID: w.GetLeaseId(), Tokens: w.GetTokens(),
			Duration: clock.Millis(w.GetLeaseMs()), Fill: w.GetFill(),
			Issuer: limit.IssuerID{Node: w.GetMinter(), Incarnation: w.GetMinterIncarnation()},
		})
	}
	return leases
}
