package limits

import (
	"context"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/limit"
	"coltsfootusher.example/core/seat"
	"coltsfootusher.example/peer/peerpb"
)

// Draw leases tokens to another node. If this node's seats of an account are empty, a request with borrow set, for a
// call that would otherwise be refused, also gets tokens from its cache.
func (l *Limits) Draw(ctx context.Context, r *peerpb.DrawRequest) (*peerpb.DrawReply, error) {
	sender := l.Sender(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.nowLocked()
	if r.GetReturnedIncarnation() == l.Incarnation {
		l.issuer.Return(decodeLeases(r.GetReturned()), now)
	}
	reply := &peerpb.DrawReply{Incarnation: l.Incarnation}
	for _, d := range r.GetDemands() {
		demand := limit.Demand{Account: d.GetAccount(), Tokens: d.GetTokens(), MaxLease: clock.Millis(d.GetLeaseMs())}
		var leases []limit.Lease
		if !d.GetWhole() || l.issuer.Available(d.GetAccount(), now) >= 1 {
			leases = l.issuer.Draw([]limit.Demand{demand}, now)
		}
		l.counters.minted.Add(totalTokens(leases))
		if d.GetBorrow() && len(leases) == 0 {
			leases = l.tokenCache.Lend(d.GetAccount(), d.GetTokens(), now)
		}
		reply.Leases = append(reply.Leases, encodeLeases(leases)...)
	}
	if r.GetReport() != nil {
		l.ownership.acceptRequest(r.GetReport(), sender, now)
		reply.Report = l.ownership.report(sender, now)
	}
	return reply, nil
}

// ReturnTokens takes leases back before they expire. Leases of an earlier incarnation are ignored.
func (l *Limits) ReturnTokens(_ context.Context, r *peerpb.ReturnTokensRequest) (*peerpb.ReturnTokensReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := l.nowLocked(); r.GetIncarnation() == l.Incarnation {
		l.issuer.Return(decodeLeases(r.GetLeases()), now)
	}
	return &peerpb.ReturnTokensReply{}, nil
}

// ReportSeats exchanges reports about the VM list with another node of the domain.
func (l *Limits) ReportSeats(ctx context.Context, r *peerpb.SeatReport) (*peerpb.SeatReport, error) {
	sender := l.Sender(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.nowLocked()
	l.ownership.acceptRequest(r, sender, now)
	return l.ownership.report(sender, now), nil
}

// ReleaseSeat releases seats that moved to the sender under a newer list and transfers their tokens.
func (l *Limits) ReleaseSeat(_ context.Context, r *peerpb.ReleaseSeatRequest) (*peerpb.ReleaseSeatReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.nowLocked()
	reply := &peerpb.ReleaseSeatReply{}
	for _, s := range r.GetSeats() {
		ownership := l.ownership.domainSeats
		if s.GetService() {
			ownership = l.ownership.serviceSeats
		}
		key := seat.Key(s.GetName(), l.FailureDomain, int(s.GetIndex()))
		release, ok := ownership.Release(key, s.GetVmsVersion(), now)
		if !ok {
			continue
		}
		balance := &peerpb.SeatBalance{Key: replyKey(s, l.FailureDomain), LastOwned: release.LastOwned}
		if !s.GetService() {
			balance.Tokens = l.issuer.ReleaseSeat(s.GetName(), int(s.GetIndex()), now)
		}
		reply.Released = append(reply.Released, balance)
	}
	return reply, nil
}
