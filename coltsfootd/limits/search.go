package limits

import (
	"context"
	"sync"
	"time"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/limit"
)

const (
	// peerTimeout bounds one control call to a peer, and so each of the three stages of a search: one owner, the owners
	// of this domain, and the owners of other domains.
	peerTimeout = 250 * time.Millisecond
	// maxSearches bounds the searches that one call waits for.
	maxSearches = 3
	// slowLease is the lease requested for waiting calls during slowPeriod, which follows a reply that took half the
	// usual lease or a pause of this process. Tokens that expire in transit would let a call be refused although the
	// seats have tokens.
	slowLease  clock.Millis = 400
	slowPeriod clock.Millis = 2000
	// unreachableTime is how long a node that did not answer is excluded from requests.
	unreachableTime clock.Millis = 1000
	// budgetBurst, budgetBaseRate and budgetPerToken bound the messages of searches for one account: the burst, the rate
	// per second, and the additional rate per token of the account's rate. Without the bound, each refusal of an account
	// far over its rate would cost a message to each owner.
	budgetBurst    = 100
	budgetBaseRate = 4
	budgetPerToken = 0.25
	// emptyReplyCost is the budget, in messages, that a message costs whose reply brought no token.
	emptyReplyCost = 8
)

// tokenSearch is a search for tokens of one account, shared by all waiting calls.
type tokenSearch struct {
	done    chan struct{}
	waiting int
	// exhausted is set if no owner had enough tokens left.
	exhausted bool
}

// messageBudget is a token bucket of messages.
type messageBudget struct {
	remaining float64
	updatedAt clock.Millis
}

// takeToken takes a token from the token cache or from this node's own seats.
func (l *Limits) takeToken(id string, now clock.Millis) bool {
	if l.tokenCache.Take(id, now) {
		return true
	}
	owners := l.seatOwners(id)
	if len(l.tokenCache.EvenDraws(id, l.limits[id], owners, 1, now)) > 0 {
		return false
	}
	order := l.tokenCache.DrawOrder(id, l.limits[id], owners, 0, now)
	if len(order) == 0 || order[0] != l.Node {
		return false
	}
	l.drawOwnSeatsForWaiting(id, 1, now)
	return l.tokenCache.Take(id, now)
}

// drawOwnSeatsForWaiting draws the tokens that the waiting calls lack from this node's own seats, if that admits at
// least one call. A fraction of a token stays in the seat, where it does not expire.
func (l *Limits) drawOwnSeatsForWaiting(id string, waiting int, now clock.Millis) {
	d := l.tokenCache.DemandFor(id, waiting, false, now)
	if l.issuer.Available(id, now) >= l.tokenCache.Shortfall(id, 1, now) {
		l.drawOwnSeats(d, now)
	}
}

// drawOwnSeats leases tokens of this node's own seats to its token cache.
func (l *Limits) drawOwnSeats(d limit.Demand, now clock.Millis) {
	if d.Tokens <= 0 {
		return
	}
	drawID := l.tokenCache.StartDraw(l.Node, []limit.Demand{d}, now)
	leases := l.issuer.Draw([]limit.Demand{d}, now)
	l.counters.minted.Add(totalTokens(leases))
	l.tokenCache.FinishDraw(drawID, l.Incarnation, leases, now)
}

func totalTokens(leases []limit.Lease) float64 {
	var tokens float64
	for _, lease := range leases {
		tokens += lease.Tokens
	}
	return tokens
}

// searchForToken requests a token for the call from other nodes, sharing the search with other waiting calls of the
// account.
func (l *Limits) searchForToken(ctx context.Context, id string) bool {
	started := l.Clock.Now()
	defer func() {
		l.counters.waits.Add(1)
		l.counters.waitMs.Add(int64(l.Clock.Now() - started))
	}()
	for range maxSearches {
		l.mu.Lock()
		now := l.nowLocked()
		if l.takeToken(id, now) {
			l.mu.Unlock()
			return true
		}
		s := l.searches[id]
		leader := s == nil
		if leader {
			s = &tokenSearch{done: make(chan struct{})}
			l.searches[id] = s
		}
		s.waiting++
		l.mu.Unlock()
		if leader {
			// The search also serves other calls, so it does not end with the context of this one.
			l.leadSearch(id, s)
		} else {
			select {
			case <-s.done:
			case <-ctx.Done():
				return false
			}
		}
		l.mu.Lock()
		ok := l.takeToken(id, l.nowLocked())
		l.mu.Unlock()
		if ok || s.exhausted {
			return ok
		}
	}
	return false
}

func (l *Limits) leadSearch(id string, s *tokenSearch) {
	found := l.askOwners(id, s)
	l.mu.Lock()
	defer l.mu.Unlock()
	// While replies are slow, tokens may have expired in transit, and nodes that have some may have been skipped.
	s.exhausted = !found && l.nowLocked() >= l.slowUntil
	l.lastSearchFailed[id] = s.exhausted
	if s.exhausted {
		l.counters.exhausted.Add(1)
		l.returnFractions(id)
	}
	delete(l.searches, id)
	close(s.done)
}

// returnFractions returns the tokens that a failed search collected: at once to this node's seats, with the next draw
// to others.
func (l *Limits) returnFractions(id string) {
	now := l.nowLocked()
	if l.tokenCache.Shortfall(id, 1, now) < 1e-6 {
		return
	}
	for _, r := range l.tokenCache.CollectAccount(id, now) {
		if r.Node != l.Node {
			l.deferReturn(r, now)
		} else if r.Incarnation == l.Incarnation {
			l.issuer.Return(r.Leases, now)
		}
	}
}

// askOwners draws from the owner expected to have most tokens, then from all owners of the domain, then from those of
// other domains, until the tokens suffice for the waiting calls.
func (l *Limits) askOwners(id string, s *tokenSearch) bool {
	l.mu.Lock()
	now := l.nowLocked()
	owners := l.seatOwners(id)
	evenDraws := l.tokenCache.EvenDraws(id, l.limits[id], owners, s.waiting, now)
	l.rotation++
	order := l.tokenCache.DrawOrder(id, l.limits[id], owners, l.rotation, now)
	sameDomain, otherDomains := l.reachable(order, owners, now)
	withinBudget := l.spendMessages(id, 0, now) > 0
	if !withinBudget {
		l.drawOwnSeatsForWaiting(id, s.waiting, now)
	}
	l.mu.Unlock()
	if !withinBudget {
		return l.waitingCallsCovered(id, s)
	}
	if len(evenDraws) > 0 {
		l.drawEvenly(id, evenDraws)
		if l.waitingCallsCovered(id, s) {
			return true
		}
	}
	for _, owner := range order {
		if len(evenDraws) > 0 || owner == l.Node || !contains(sameDomain, owner) && !contains(otherDomains, owner) {
			continue
		}
		l.drawInParallel(id, s, []string{owner}, true)
		if l.waitingCallsCovered(id, s) {
			return true
		}
		sameDomain, otherDomains = without(sameDomain, owner), without(otherDomains, owner)
		break
	}
	l.mu.Lock()
	now = l.nowLocked()
	if l.lastSearchFailed[id] {
		l.drawOwnSeatsForWaiting(id, s.waiting, now)
	} else {
		l.drawOwnSeats(l.tokenCache.DemandFor(id, s.waiting, false, now), now)
	}
	l.mu.Unlock()
	for _, stage := range [][]string{sameDomain, otherDomains} {
		if l.waitingCallsCovered(id, s) {
			return true
		}
		l.drawInParallel(id, s, stage, false)
	}
	return l.waitingCallsCovered(id, s)
}

func (l *Limits) waitingCallsCovered(id string, s *tokenSearch) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tokenCache.Shortfall(id, s.waiting, l.nowLocked()) < 1e-6
}

// reachable returns the other owners that are not marked unreachable, split into those of this domain and the rest.
func (l *Limits) reachable(order []string, owners []limit.Owner, now clock.Millis) (sameDomain, otherDomains []string) {
	distance := make(map[string]int, len(owners))
	for _, o := range owners {
		distance[o.Node] = o.Distance
	}
	for _, name := range order {
		switch {
		case name == l.Node || now < l.unreachableUntil[name]:
		case distance[name] == 1:
			sameDomain = append(sameDomain, name)
		default:
			otherDomains = append(otherDomains, name)
		}
	}
	return sameDomain, otherDomains
}

// spendMessages subtracts messages from the account's budget and returns what remains.
func (l *Limits) spendMessages(id string, messages float64, now clock.Millis) float64 {
	b := l.messageBudgets[id]
	if b == nil {
		b = &messageBudget{remaining: budgetBurst, updatedAt: now}
		l.messageBudgets[id] = b
	}
	rate := budgetBaseRate + budgetPerToken*l.limits[id].RatePerSecond
	b.remaining = min(budgetBurst, b.remaining+rate*float64(now-b.updatedAt)/1000) - messages
	b.updatedAt = now
	return b.remaining
}

// drawInParallel sends the account's demand to the nodes in parallel. With prefetch set, the demand includes the calls
// expected next, and the message also carries the demand of other accounts. Otherwise the nodes may also pass on tokens
// from their caches.
func (l *Limits) drawInParallel(id string, s *tokenSearch, nodes []string, prefetch bool) {
	var group sync.WaitGroup
	for _, name := range nodes {
		l.mu.Lock()
		now := l.nowLocked()
		demands := []limit.Demand{l.tokenCache.DemandFor(id, s.waiting, prefetch, now)}
		if prefetch {
			for _, d := range l.tokenCache.Prefetch(l.ownSeatTokens(now), now) {
				if d.Account != id {
					demands = append(demands, d)
				}
			}
		}
		if now < l.slowUntil {
			demands[0].MaxLease = max(demands[0].MaxLease, slowLease)
		}
		l.mu.Unlock()
		if demands[0].Tokens > 0 {
			group.Go(func() { l.drawAndCharge(id, name, demands, !prefetch) })
		}
	}
	group.Wait()
}

func (l *Limits) drawEvenly(id string, draws []limit.NodeDemand) {
	var group sync.WaitGroup
	for _, d := range draws {
		demands := []limit.Demand{d.Demand}
		if d.Node == l.Node {
			l.mu.Lock()
			l.drawOwnSeats(d.Demand, l.nowLocked())
			l.mu.Unlock()
			continue
		}
		group.Go(func() { l.drawAndCharge(id, d.Node, demands, false) })
	}
	group.Wait()
}

// drawAndCharge draws tokens from the node and charges the message to the account's budget.
func (l *Limits) drawAndCharge(id, node string, demands []limit.Demand, borrow bool) {
	granted, answered := l.drawFrom(node, demands, borrow)
	l.chargeDraw(id, granted, answered)
}

// chargeDraw charges a message to the account's budget. A message that brought no tokens costs more.
func (l *Limits) chargeDraw(id string, granted float64, answered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.nowLocked()
	cost := 1.0
	if answered && granted == 0 && now >= l.slowUntil {
		cost = emptyReplyCost
	}
	l.spendMessages(id, cost, now)
}

// ownSeatTokens returns a function that tells how many tokens of an account this node's own seats hold.
func (l *Limits) ownSeatTokens(now clock.Millis) func(id string) float64 {
	return func(id string) float64 { return l.issuer.Available(id, now) }
}

// prefetchTokens refills the cached tokens of all accounts with one message.
func (l *Limits) prefetchTokens(context.Context) {
	l.mu.Lock()
	now := l.nowLocked()
	demands := l.tokenCache.Prefetch(l.ownSeatTokens(now), now)
	node := ""
	if len(demands) > 0 {
		id := demands[0].Account
		owners := l.seatOwners(id)
		l.rotation++
		order := l.tokenCache.DrawOrder(id, l.limits[id], owners, l.rotation, now)
		sameDomain, otherDomains := l.reachable(order, owners, now)
		for _, name := range order {
			if contains(sameDomain, name) || contains(otherDomains, name) {
				node = name
				break
			}
		}
		if node != "" && l.spendMessages(id, 0, now) <= 0 {
			node = ""
		}
	}
	l.mu.Unlock()
	if node != "" {
		go func() { l.drawAndCharge(demands[0].Account, node, demands, false) }()
	}
}

func contains(list []string, name string) bool {
	for _, s := range list {
		if s == name {
			return true
		}
	}
	return false
}

func without(list []string, name string) []string {
	var kept []string
	for _, s := range list {
		if s != name {
			kept = append(kept, s)
		}
	}
	return kept
}
