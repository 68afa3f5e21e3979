package limit

import (
	"cmp"
	"maps"
	"math"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/seat"
)

const (
	// DefaultPrefetch is the longest time for which a cache prefetches tokens, at the smoothed rate of the demand.
	DefaultPrefetch clock.Millis = 500
	// maxPrefetchFraction is the largest fraction of an account's burst that all caches together prefetch while the account
	// sends at its rate. Tokens in a cache can't cover a peak of the demand at another node.
	maxPrefetchFraction = 0.125
	// demandTimeConstant is the time constant of the exponential average of the demand.
	demandTimeConstant clock.Millis = 1000
	// prefetchLeaseFactor is the duration of a lease on prefetched tokens, as a multiple of the time that they are meant to
	// cover. The lease expires soon after the tokens are expected to be spent, so that the seat's cap is free again without
	// a message that reports them as spent.
	prefetchLeaseFactor = 1.5
	// returnAfterFraction is the fraction of a lease's duration after which unused tokens are returned to the issuer.
	returnAfterFraction = 0.7
	// CallLease is the lease duration for tokens that waiting calls spend as soon as the reply arrives.
	CallLease clock.Millis = 40
	// minLentLease is the shortest remaining duration with which a lease is lent to another node.
	minLentLease clock.Millis = 20
	// maxSmallBurst is the largest burst, in tokens, that is treated as small: tokens are not prefetched, and a node doesn't
	// prefer its own seats, so that no seat is full and stops accruing while others are empty.
	maxSmallBurst = 40
	// maxEvenBurst is the largest burst, in tokens, for which every draw is spread evenly over all seats.
	maxEvenBurst = 20
	// localFillBonus is added to the fill level of the node's own seats when owners are ordered. Up to this difference a
	// node draws from its own seats, which costs no message, before it asks others.
	localFillBonus = 0.6
	// roundingTolerance is the shortfall up to which a sum of fractions still counts as a whole token.
	roundingTolerance = 1e-9
)

// TokenCacheConfig holds the times of a token cache in milliseconds; zero values mean the defaults.
type TokenCacheConfig struct {
	Prefetch clock.Millis
}

// IssuerID identifies the issuer that granted a lease.
type IssuerID struct {
	Node        string
	Incarnation uint64
}

// ReturnBatch is a batch of leases to return to one issuer.
type ReturnBatch struct {
	IssuerID
	Leases []Lease
	// ReportSpent is true if a lease in the batch belongs to an account with such a small burst that spent leases are
	// reported without delay too.
	ReportSpent bool
}

// minTokensToReturn is the number of unused tokens from which a return justifies a message of its own.
const minTokensToReturn = 0.5

// WorthSending reports whether the batch justifies a message of its own. Other batches are sent along with the next draw
// from the same issuer, or expire.
func (r ReturnBatch) WorthSending() bool {
	var sum float64
	for _, l := range r.Leases {
		sum += l.Tokens
	}
	return r.ReportSpent || sum >= minTokensToReturn
}

// TokenCache holds the tokens that this node has leased. It is not safe for concurrent use.
type TokenCache struct {
	config       TokenCacheConfig
	accounts     map[string]*cachedAccount
	limits       map[string]Limit
	pendingDraws map[uint64]pendingDraw
	lastDrawID   uint64
	spent        []heldLease
}

// cachedAccount is the state of one account in a token cache.
type cachedAccount struct {
	leases       []heldLease // ordered by expiry
	inFlight     float64     // tokens demanded by pending draws
	demand       float64     // tokens per millisecond, smoothed
	demandAt     clock.Millis
	fillLevels   map[string]fillLevel // by node name
	prefetchTime float64              // milliseconds of demand that prefetched tokens cover
}

// fillLevel tells how full a node's seats of an account were after the last draw.
type fillLevel struct {
	fraction float64
	at       clock.Millis
}

// heldLease is a lease as its holder keeps it.
type heldLease struct {
	issuer    IssuerID
	lease     Lease
	remaining float64
	expiresAt clock.Millis
	returnAt  clock.Millis
}

// pendingDraw is a draw that has not been answered yet.
type pendingDraw struct {
	node    string
	demands []Demand
	sentAt  clock.Millis
}

// NewTokenCache returns an empty token cache.
func NewTokenCache(config TokenCacheConfig) *TokenCache {
	if config.Prefetch == 0 {
		config.Prefetch = DefaultPrefetch
	}
	return &TokenCache{config: config, accounts: make(map[string]*cachedAccount), pendingDraws: make(map[uint64]pendingDraw)}
}

// SetLimits replaces the limits, which bound how many tokens are prefetched.
func (c *TokenCache) SetLimits(limits map[string]Limit) {
	c.limits = limits
	for account, a := range c.accounts {
		a.prefetchTime = c.prefetchTime(limits[account])
	}
}

func (c *TokenCache) prefetchTime(limit Limit) float64 {
	if limit.RatePerSecond <= 0 || limit.Burst <= maxSmallBurst {
		return 0
	}
	return min(float64(c.config.Prefetch), maxPrefetchFraction*limit.Burst/limit.RatePerSecond*1000)
}

// RecordCall counts one call of the account as demand. The caller invokes it once per call, before the first Take.
func (c *TokenCache) RecordCall(account string, now clock.Millis) {
	a := c.account(account)
	a.decayDemand(now)
	a.demand += 1 / float64(demandTimeConstant)
}

// Take spends one token of the account, adding up fractions of several leases, and reports whether there was one.
func (c *TokenCache) Take(account string, now clock.Millis) bool {
	a := c.account(account)
	if a.usableTokens(now) < 1-roundingTolerance {
		return false
	}
	need := 1.0
	for need > roundingTolerance && len(a.leases) > 0 {
		h := &a.leases[0]
		tokens := min(need, h.remaining)
		need -= tokens
		h.remaining -= tokens
		if h.remaining < roundingTolerance {
			h.remaining = 0
			c.spent = append(c.spent, *h)
			a.leases = a.leases[1:]
		}
	}
	return true
}

// Shortfall returns the number of tokens that are missing to admit the waiting calls of the account.
func (c *TokenCache) Shortfall(account string, calls int, now clock.Millis) float64 {
	return max(0, float64(calls)-c.account(account).usableTokens(now))
}

// Prefetch returns the demands for tokens that are expected to be needed. availableLocally returns the tokens of an
// account that this node's own issuer can lease, which need no message. If the stock of any account is below half of what
// is desired, the result lists all accounts that have less than desired, the emptiest first, so that one message serves
// them all. Accounts for which fewer than two tokens are desired draw on demand only.
func (c *TokenCache) Prefetch(availableLocally func(account string) float64, now clock.Millis) []Demand {
	var demands []Demand
	stockLevels := make(map[string]float64)
	urgent := false
	for account, a := range c.accounts {
		a.decayDemand(now)
		desired := c.prefetchStock(a)
		if desired < 2 {
			continue
		}
		stock := a.usableTokens(now) + a.inFlight + availableLocally(account)
		if stock < desired {
			demands = append(demands, Demand{Account: account, Tokens: desired - stock, MaxLease: a.prefetchLease()})
			stockLevels[account] = stock / desired
			urgent = urgent || stock < desired/2
		}
	}
	if !urgent {
		return nil
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(stockLevels[a.Account], stockLevels[b.Account]), cmp.Compare(a.Account, b.Account))
	})
	return demands
}

// DemandFor returns the demand to send to the first owner for the waiting calls. With prefetch it also covers the calls
// that are expected next.
func (c *TokenCache) DemandFor(account string, calls int, prefetch bool, now clock.Millis) Demand {
	d := Demand{Account: account, Tokens: c.Shortfall(account, calls, now), MaxLease: CallLease}
	a := c.account(account)
	a.decayDemand(now)
	if missing := c.prefetchStock(a) - a.usableTokens(now) - a.inFlight; prefetch && missing > d.Tokens {
		d.Tokens, d.MaxLease = missing, a.prefetchLease()
	}
	return d
}

// prefetchStock returns the number of tokens of the account that the cache wants to have in stock.
func (c *TokenCache) prefetchStock(a *cachedAccount) float64 {
	return math.Ceil(a.demand * a.prefetchTime)
}

// prefetchLease returns the lease duration to ask for when tokens are prefetched.
func (a *cachedAccount) prefetchLease() clock.Millis {
	return CallLease + clock.Millis(prefetchLeaseFactor*a.prefetchTime)
}

// Lend removes leases with at least the given number of tokens, or as many as there are, for another node that would
// otherwise refuse a call. Leases are lent whole, because an issuer settles each lease only once. The remaining duration
// is taken here, while the borrower counts it from the earlier time at which it sent its draw, so the lease still expires
// at the borrower before it expires at the issuer.
func (c *TokenCache) Lend(account string, tokens float64, now clock.Millis) []Lease {
	a := c.accounts[account]
	if a == nil || a.usableTokens(now) < minTokens {
		return nil
	}
	var lent []Lease
	var kept []heldLease
	for _, h := range a.leases {
		if tokens < minTokens || h.expiresAt-now < minLentLease {
			kept = append(kept, h)
			continue
		}
		l := h.lease
		l.Tokens, l.Duration, l.Issuer, l.Fill = h.remaining, h.expiresAt-now, h.issuer, 0
		lent = append(lent, l)
		tokens -= h.remaining
	}
	a.leases = kept
	return lent
}

// Held returns the number of tokens of all accounts in the cache.
func (c *TokenCache) Held(now clock.Millis) float64 {
	var sum float64
	for _, a := range c.accounts {
		sum += a.usableTokens(now)
	}
	return sum
}

// StartDraw records that a draw is sent at now, and returns the id with which its reply is passed to FinishDraw.
func (c *TokenCache) StartDraw(node string, demands []Demand, now clock.Millis) uint64 {
	c.lastDrawID++
	c.pendingDraws[c.lastDrawID] = pendingDraw{node: node, demands: demands, sentAt: now}
	for _, d := range demands {
		c.account(d.Account).inFlight += d.Tokens
	}
	return c.lastDrawID
}

// FinishDraw adds the leases of a reply. A second reply to the same draw is ignored. The duration of a lease counts from
// the time at which the draw was sent, so the lease expires here before it expires at the issuer.
func (c *TokenCache) FinishDraw(drawID, incarnation uint64, leases []Lease, now clock.Millis) {
	d, ok := c.pendingDraws[drawID]
	if !ok {
		return
	}
	c.CancelDraw(drawID)
	for _, demand := range d.demands {
		c.account(demand.Account).fillLevels[d.node] = fillLevel{at: now}
	}
	for _, l := range leases {
		a := c.account(l.Account)
		issuer := l.Issuer
		if issuer == (IssuerID{}) {
			issuer = IssuerID{Node: d.node, Incarnation: incarnation}
			a.fillLevels[d.node] = fillLevel{fraction: l.Fill, at: now}
		}
		expiresAt := d.sentAt + l.Duration
		if expiresAt <= now || l.Tokens <= 0 {
			continue
		}
		a.insert(heldLease{
			issuer: issuer, lease: l, remaining: l.Tokens, expiresAt: expiresAt,
			returnAt: d.sentAt + clock.Millis(returnAfterFraction*float64(l.Duration)),
		})
	}
}

// CancelDraw removes a draw that gets no reply.
func (c *TokenCache) CancelDraw(drawID uint64) {
	for _, d := range c.pendingDraws[drawID].demands {
		a := c.account(d.Account)
		a.inFlight = max(0, a.inFlight-d.Tokens)
	}
	delete(c.pendingDraws, drawID)
}

// CollectReturns removes the leases that are spent or were not used in time, and returns them grouped by issuer. Spent
// leases are reported too, because they count against the seat's cap until then.
func (c *TokenCache) CollectReturns(now clock.Millis) []ReturnBatch {
	return c.collect(now, func(h heldLease) bool { return h.returnAt <= now })
}

// CollectAll removes and returns all leases, for a node that is leaving.
func (c *TokenCache) CollectAll(now clock.Millis) []ReturnBatch {
	return c.collect(now, func(heldLease) bool { return true })
}

// CollectAccount removes and returns the account's leases, for a call that was refused although a fraction of a token had
// been drawn for it.
func (c *TokenCache) CollectAccount(account string, now clock.Millis) []ReturnBatch {
	return c.collect(now, func(h heldLease) bool { return h.lease.Account == account })
}

// EvenDraws returns draws that take an equal part of the shortfall from each seat if the account has a very small burst,
// and none for other accounts. Equal draws keep all seats at the same level, so that together they behave like a single
// bucket. They cost a message to each owner for each call. The caller sends them at once; if tokens are still missing, it
// asks the owners in DrawOrder.
func (c *TokenCache) EvenDraws(account string, limit Limit, owners []Owner, calls int, now clock.Millis) []NodeDemand {
	missing := c.Shortfall(account, calls, now)
	if missing < minTokens || limit.Burst > maxEvenBurst {
		return nil
	}
	seats := 0
	for _, o := range owners {
		seats += o.Seats
	}
	draws := make([]NodeDemand, 0, len(owners))
	for _, o := range owners {
		share := missing * float64(o.Seats) / float64(seats)
		draws = append(draws, NodeDemand{Node: o.Node, Demand: Demand{Account: account, Tokens: share, MaxLease: CallLease}})
	}
	return draws
}

// NodeDemand is a demand to send to one node.
type NodeDemand struct {
	Node   string
	Demand Demand
}

// DrawOrder returns the owners of the account's seats in the order in which to ask them: the fullest first, estimated
// from their last reply and the time since. Drawing from the fullest seats keeps them from filling up and losing accrual.
// Among equally full owners this node comes first, then the nodes of its domain; rotation varies the order of the others.
func (c *TokenCache) DrawOrder(account string, limit Limit, owners []Owner, rotation uint64, now clock.Millis) []string {
	if len(owners) == 0 {
		return nil
	}
	fillLevels := c.account(account).fillLevels
	level := func(o Owner) float64 {
		last, known := fillLevels[o.Node]
		fraction := 1.0
		if known {
			fraction = min(1, last.fraction+float64(now-last.at)*limit.RatePerSecond/1000/max(limit.Burst, minTokens))
		}
		if o.Distance == 0 && limit.Burst > maxSmallBurst {
			fraction += localFillBonus
		}
		return fraction
	}
	start := int(rotation % uint64(len(owners)))
	order := append(slices.Clone(owners[start:]), owners[:start]...)
	slices.SortStableFunc(order, func(a, b Owner) int {
		return cmp.Or(cmp.Compare(level(b), level(a)), cmp.Compare(a.Distance, b.Distance))
	})
	names := make([]string, 0, len(order))
	for _, o := range order {
		names = append(names, o.Node)
	}
	return names
}

func (c *TokenCache) collect(now clock.Millis, shouldReturn func(heldLease) bool) []ReturnBatch {
	returned := c.spent
	c.spent = nil
	for account, a := range c.accounts {
		a.decayDemand(now)
		a.usableTokens(now)
		var kept []heldLease
		for _, h := range a.leases {
			if shouldReturn(h) {
				returned = append(returned, h)
			} else {
				kept = append(kept, h)
			}
		}
		a.leases = kept
		if len(kept) == 0 && a.inFlight == 0 && a.demand*float64(demandTimeConstant) < roundingTolerance {
			delete(c.accounts, account)
		}
	}
	return c.groupByIssuer(returned)
}

func (c *TokenCache) groupByIssuer(leases []heldLease) []ReturnBatch {
	byIssuer := make(map[IssuerID][]Lease)
	for _, h := range leases {
		l := h.lease
		l.Tokens = h.remaining
		byIssuer[h.issuer] = append(byIssuer[h.issuer], l)
	}
	batches := make([]ReturnBatch, 0, len(byIssuer))
	for issuer, batch := range byIssuer {
		slices.SortFunc(batch, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
		reportSpent := slices.ContainsFunc(batch, func(l Lease) bool { return c.limits[l.Account].Burst <= maxEvenBurst })
		batches = append(batches, ReturnBatch{IssuerID: issuer, Leases: batch, ReportSpent: reportSpent})
	}
	slices.SortFunc(batches, func(a, b ReturnBatch) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return batches
}

func (c *TokenCache) account(account string) *cachedAccount {
	a := c.accounts[account]
	if a == nil {
		a = &cachedAccount{fillLevels: make(map[string]fillLevel), prefetchTime: c.prefetchTime(c.limits[account])}
		c.accounts[account] = a
	}
	return a
}

func (a *cachedAccount) insert(h heldLease) {
	index, _ := slices.BinarySearchFunc(a.leases, h, func(x, y heldLease) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
	a.leases = slices.Insert(a.leases, index, h)
}

// usableTokens removes expired leases and returns the tokens that are left.
func (a *cachedAccount) usableTokens(now clock.Millis) float64 {
	expired := 0
	for expired < len(a.leases) && a.leases[expired].expiresAt <= now {
		expired++
	}
	a.leases = a.leases[expired:]
	var sum float64
	for _, h := range a.leases {
		sum += h.remaining
	}
	return sum
}

func (a *cachedAccount) decayDemand(now clock.Millis) {
	if now > a.demandAt {
		a.demand *= math.Exp(-float64(now-a.demandAt) / float64(demandTimeConstant))
		a.demandAt = now
	}
}

// Owner is a node that owns seats of an account.
type Owner struct {
	Node string
	// Distance is 0 for this node, 1 for its domain and 2 for other domains.
	Distance int
	// Seats is the number of the account's seats that the node owns.
	Seats int
}

// Owners returns the owners of the account's seats under the VM lists of all domains; seats is the result of Limit.Seats.
func Owners(account, self, domain string, lists map[string]seat.List, seats int) []Owner {
	var owners []Owner
	for _, d := range slices.Sorted(maps.Keys(lists)) {
		for i := range seats {
			o := Owner{Node: lists[d].Owner(seat.Key(account, d, i)), Distance: 2}
			switch {
			case o.Node == self:
				o.Distance = 0
			case d == domain:
				o.Distance = 1
			}
			if o.Node == "" {
				continue
			}
			index := slices.IndexFunc(owners, func(other Owner) bool { return other.Node == o.Node })
			if index < 0 {
				index = len(owners)
				owners = append(owners, o)
			}
			owners[index].Seats++
		}
	}
	return owners
}
