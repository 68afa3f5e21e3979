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
	// DefaultPrefetch is the longest time of smoothed demand that a wallet keeps in stock.
	DefaultPrefetch clock.Millis = 500
	// maxPrefetchFraction is the part of an account's burst that all wallets together keep in stock at most, when the account
	// sends at its rate. What lies in wallets cannot even out a peak of the demand elsewhere.
	maxPrefetchFraction = 0.125
	// demandTimeConstant is the time constant of the demand average.
	demandTimeConstant clock.Millis = 1000
	// prefetchLeaseFactor is the lease for stock, in times of the period that the stock is for. It ends soon after the tokens are
	// expected to be spent, so that the seat's cap is free again without a message that reports them as spent.
	prefetchLeaseFactor = 1.5
	// returnAfterFraction is the part of a lease after which unused tokens go back to their minter.
	returnAfterFraction = 0.7
	// CallLease is the lease for tokens that waiting calls spend as soon as the reply arrives.
	CallLease clock.Millis = 40
	// minLentLease is the remaining time below which a lease is not worth passing on.
	minLentLease clock.Millis = 20
	// maxSmallBurst is the greatest burst, in tokens, of which no seat may stand at its cap while others are empty.
	maxSmallBurst = 40
	// maxEvenBurst is the greatest burst, in tokens, for which every draw is spread over all seats.
	maxEvenBurst = 20
	// localFillBonus is the difference in the filled part of the seats up to which a node takes tokens from its own seats,
	// which costs no message, before it asks others.
	localFillBonus = 0.6
	// roundingTolerance is the shortfall that still counts as a whole token after adding fractions.
	roundingTolerance = 1e-9
)

// TokenCacheConfig holds the times of a wallet in milliseconds; zero values mean the defaults.
type TokenCacheConfig struct {
	Prefetch clock.Millis
}

// IssuerID names the minter that granted a lease.
type IssuerID struct {
	Node        string
	Incarnation uint64
}

// ReturnBatch is a batch of leases to give back to one minter.
type ReturnBatch struct {
	IssuerID
	Leases []Lease
	// ReportSpent is set if an account has so small a burst that its spent leases are reported too.
	ReportSpent bool
}

// minTokensToReturn is the number of unused tokens from which returning them is worth a message.
const minTokensToReturn = 0.5

// WorthSending reports whether the batch is to be sent on its own. Other batches go with the next draw from the same
// minter, or lapse.
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

// account holds one account's leases, the soonest to end first.
type cachedAccount struct {
	leases       []heldLease
	inFlight     float64
	demand       float64 // tokens per millisecond, smoothed
	demandAt     clock.Millis
	fillLevels   map[string]fillLevel // by node
	prefetchTime float64              // milliseconds of demand to keep in stock
}

// fillLevel is how full a node's seats of an account were after the last draw.
type fillLevel struct {
	fraction float64
	at       clock.Millis
}

// heldLease is a lease at its holder.
type heldLease struct {
	issuer    IssuerID
	lease     Lease
	remaining float64
	expiresAt clock.Millis
	returnAt  clock.Millis
}

// pendingDraw is a request for tokens whose reply is awaited.
type pendingDraw struct {
	node    string
	demands []Demand
	sentAt  clock.Millis
}

// NewTokenCache returns an empty wallet.
func NewTokenCache(config TokenCacheConfig) *TokenCache {
	if config.Prefetch == 0 {
		config.Prefetch = DefaultPrefetch
	}
	return &TokenCache{config: config, accounts: make(map[string]*cachedAccount), pendingDraws: make(map[uint64]pendingDraw)}
}

// SetLimits takes new limits into use; they bound what the wallet draws ahead.
func (w *TokenCache) SetLimits(limits map[string]Limit) {
	w.limits = limits
	for account, p := range w.accounts {
		p.prefetchTime = w.prefetchTime(limits[account])
	}
}

func (w *TokenCache) prefetchTime(l Limit) float64 {
	if l.RatePerSecond <= 0 || l.Burst <= maxSmallBurst {
		return 0
	}
	return min(float64(w.config.Prefetch), maxPrefetchFraction*l.Burst/l.RatePerSecond*1000)
}

// RecordCall notes one call of the account; call it once per call, before the first Take.
func (w *TokenCache) RecordCall(account string, now clock.Millis) {
	p := w.account(account)
	p.decayDemand(now)
	p.demand += 1 / float64(demandTimeConstant)
}

// Take spends one token of the account if the wallet holds one, adding up fractions of several leases.
func (w *TokenCache) Take(account string, now clock.Millis) bool {
	p := w.account(account)
	if p.usableTokens(now) < 1-roundingTolerance {
		return false
	}
	need := 1.0
	for need > roundingTolerance && len(p.leases) > 0 {
		h := &p.leases[0]
		tokens := min(need, h.remaining)
		need -= tokens
		h.remaining -= tokens
		if h.remaining < roundingTolerance {
			h.remaining = 0
			w.spent = append(w.spent, *h)
			p.leases = p.leases[1:]
		}
	}
	return true
}

// Shortfall returns the tokens to draw so that a number of waiting calls of the account can be admitted.
func (w *TokenCache) Shortfall(account string, calls int, now clock.Millis) float64 {
	return max(0, float64(calls)-w.account(account).usableTokens(now))
}

// Prefetch returns what to draw before it is needed. local tells the tokens of an account that this node mints, which
// need no message. If the stock of any account is below half of its aim, all accounts below their aim are included,
// the emptiest first, so that one message serves them all. Accounts that use less than two tokens in the time of the
// aim draw on demand.
func (w *TokenCache) Prefetch(local func(account string) float64, now clock.Millis) []Demand {
	var demands []Demand
	levels := make(map[string]float64)
	urgent := false
	for account, p := range w.accounts {
		p.decayDemand(now)
		aim := w.prefetchStock(p)
		if aim < 2 {
			continue
		}
		stock := p.usableTokens(now) + p.inFlight + local(account)
		if stock < aim {
			demands = append(demands, Demand{Account: account, Tokens: aim - stock, MaxLease: p.prefetchLease()})
			levels[account] = stock / aim
			urgent = urgent || stock < aim/2
		}
	}
	if !urgent {
		return nil
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(levels[a.Account], levels[b.Account]), cmp.Compare(a.Account, b.Account))
	})
	return demands
}

// DemandFor returns the demand to send to the first owner for a number of waiting calls, and with ahead set for the
// calls that are expected next.
func (w *TokenCache) DemandFor(account string, calls int, ahead bool, now clock.Millis) Demand {
	d := Demand{Account: account, Tokens: w.Shortfall(account, calls, now), MaxLease: CallLease}
	p := w.account(account)
	p.decayDemand(now)
	if more := w.prefetchStock(p) - p.usableTokens(now) - p.inFlight; ahead && more > d.Tokens {
		d.Tokens, d.MaxLease = more, p.prefetchLease()
	}
	return d
}

// prefetchStock is the stock of tokens for which the wallet draws ahead.
func (w *TokenCache) prefetchStock(p *cachedAccount) float64 {
	return math.Ceil(p.demand * p.prefetchTime)
}

// prefetchLease is the lease to ask for with stock.
func (p *cachedAccount) prefetchLease() clock.Millis {
	return CallLease + clock.Millis(prefetchLeaseFactor*p.prefetchTime)
}

// Lend takes out leases with at least the number of tokens, if there are, for another node that would refuse a call
// otherwise. Leases move whole, because a minter settles each lease once. The remaining time is measured before the
// borrower's own measurement ends, so the lease still ends at the borrower before it ends at the minter.
func (w *TokenCache) Lend(account string, tokens float64, now clock.Millis) []Lease {
	p := w.accounts[account]
	if p == nil || p.usableTokens(now) < minTokens {
		return nil
	}
	var lent []Lease
	var kept []heldLease
	for _, h := range p.leases {
		if tokens < minTokens || h.expiresAt-now < minLentLease {
			kept = append(kept, h)
			continue
		}
		l := h.lease
		l.Tokens, l.Duration, l.Issuer, l.Fill = h.remaining, h.expiresAt-now, h.issuer, 0
		lent = append(lent, l)
		tokens -= h.remaining
	}
	p.leases = kept
	return lent
}

// Held returns the tokens of all accounts that the wallet holds.
func (w *TokenCache) Held(now clock.Millis) float64 {
	var sum float64
	for _, p := range w.accounts {
		sum += p.usableTokens(now)
	}
	return sum
}

// StartDraw notes that a draw is sent at now and returns the number under which its reply is accepted.
func (w *TokenCache) StartDraw(node string, demands []Demand, now clock.Millis) uint64 {
	w.lastDrawID++
	w.pendingDraws[w.lastDrawID] = pendingDraw{node: node, demands: demands, sentAt: now}
	for _, d := range demands {
		w.account(d.Account).inFlight += d.Tokens
	}
	return w.lastDrawID
}

// FinishDraw adds the leases of a reply. A second reply to the same draw is ignored. Leases end their duration
// after the draw was sent, which is before they end at the minter.
func (w *TokenCache) FinishDraw(number, incarnation uint64, leases []Lease, now clock.Millis) {
	d, ok := w.pendingDraws[number]
	if !ok {
		return
	}
	w.CancelDraw(number)
	for _, demand := range d.demands {
		w.account(demand.Account).fillLevels[d.node] = fillLevel{at: now}
	}
	for _, l := range leases {
		p := w.account(l.Account)
		from := l.Issuer
		if from == (IssuerID{}) {
			from = IssuerID{Node: d.node, Incarnation: incarnation}
			p.fillLevels[d.node] = fillLevel{fraction: l.Fill, at: now}
		}
		end := d.sentAt + l.Duration
		if end <= now || l.Tokens <= 0 {
			continue
		}
		p.insert(heldLease{
			issuer: from, lease: l, remaining: l.Tokens, expiresAt: end,
			returnAt: d.sentAt + clock.Millis(returnAfterFraction*float64(l.Duration)),
		})
	}
}

// CancelDraw forgets a draw that gets no reply.
func (w *TokenCache) CancelDraw(number uint64) {
	for _, d := range w.pendingDraws[number].demands {
		p := w.account(d.Account)
		p.inFlight = max(0, p.inFlight-d.Tokens)
	}
	delete(w.pendingDraws, number)
}

// CollectReturns takes out the leases that are spent or were not used in time, grouped by minter. Spent leases are
// reported too, because until then they use up the seat's cap.
func (w *TokenCache) CollectReturns(now clock.Millis) []ReturnBatch {
	return w.collect(now, func(h heldLease) bool { return h.returnAt <= now })
}

// CollectAll takes out all leases, for a node that is leaving.
func (w *TokenCache) CollectAll(now clock.Millis) []ReturnBatch {
	return w.collect(now, func(heldLease) bool { return true })
}

// CollectAccount takes out the account's leases, for a call that was refused with a fraction drawn for it.
func (w *TokenCache) CollectAccount(account string, now clock.Millis) []ReturnBatch {
	return w.collect(now, func(h heldLease) bool { return h.lease.Account == account })
}

// EvenDraws returns draws that take an equal part of what is missing from each owner, for an account with a very small
// burst; nothing for others. Equal draws keep all seats at the same level, so that together they act as one bucket.
// They cost a message to each owner for each call. The caller sends them at once, and asks in AskOrder for what is
// then missing.
func (w *TokenCache) EvenDraws(account string, l Limit, owners []Owner, calls int, now clock.Millis) []NodeDemand {
	missing := w.Shortfall(account, calls, now)
	if missing < minTokens || l.Burst > maxEvenBurst {
		return nil
	}
	seats := 0
	for _, o := range owners {
		seats += o.Seats
	}
	draws := make([]NodeDemand, 0, len(owners))
	for _, o := range owners {
		part := missing * float64(o.Seats) / float64(seats)
		draws = append(draws, NodeDemand{Node: o.Node, Demand: Demand{Account: account, Tokens: part, MaxLease: CallLease}})
	}
	return draws
}

// NodeDemand is a demand on one node.
type NodeDemand struct {
	Node   string
	Demand Demand
}

// DrawOrder returns the owners of the account's seats in the order in which to ask them, the fullest first by what
// earlier replies said and the time since. Taking from the fullest seats keeps accrual from stopping at their caps.
// Among equally full ones this node comes first, then its domain; turn varies the order of the others.
func (w *TokenCache) DrawOrder(account string, l Limit, owners []Owner, turn uint64, now clock.Millis) []string {
	if len(owners) == 0 {
		return nil
	}
	fills := w.account(account).fillLevels
	level := func(o Owner) float64 {
		f, known := fills[o.Node]
		part := 1.0
		if known {
			part = min(1, f.fraction+float64(now-f.at)*l.RatePerSecond/1000/max(l.Burst, minTokens))
		}
		if o.Distance == 0 && l.Burst > maxSmallBurst {
			part += localFillBonus
		}
		return part
	}
	at := int(turn % uint64(len(owners)))
	order := append(slices.Clone(owners[at:]), owners[:at]...)
	slices.SortStableFunc(order, func(a, b Owner) int {
		return cmp.Or(cmp.Compare(level(b), level(a)), cmp.Compare(a.Distance, b.Distance))
	})
	names := make([]string, 0, len(order))
	for _, o := range order {
		names = append(names, o.Node)
	}
	return names
}

func (w *TokenCache) collect(now clock.Millis, done func(heldLease) bool) []ReturnBatch {
	out := w.spent
	w.spent = nil
	for account, p := range w.accounts {
		p.decayDemand(now)
		p.usableTokens(now)
		var kept []heldLease
		for _, h := range p.leases {
			if done(h) {
				out = append(out, h)
			} else {
				kept = append(kept, h)
			}
		}
		p.leases = kept
		if len(kept) == 0 && p.inFlight == 0 && p.demand*float64(demandTimeConstant) < roundingTolerance {
			delete(w.accounts, account)
		}
	}
	return w.groupByIssuer(out)
}

func (w *TokenCache) groupByIssuer(holdings []heldLease) []ReturnBatch {
	byMinter := make(map[IssuerID][]Lease)
	for _, h := range holdings {
		l := h.lease
		l.Tokens = h.remaining
		byMinter[h.issuer] = append(byMinter[h.issuer], l)
	}
	out := make([]ReturnBatch, 0, len(byMinter))
	for from, leases := range byMinter {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
		small := slices.ContainsFunc(leases, func(l Lease) bool { return w.limits[l.Account].Burst <= maxEvenBurst })
		out = append(out, ReturnBatch{IssuerID: from, Leases: leases, ReportSpent: small})
	}
	slices.SortFunc(out, func(a, b ReturnBatch) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func (w *TokenCache) account(account string) *cachedAccount {
	p := w.accounts[account]
	if p == nil {
		p = &cachedAccount{fillLevels: make(map[string]fillLevel), prefetchTime: w.prefetchTime(w.limits[account])}
		w.accounts[account] = p
	}
	return p
}

func (p *cachedAccount) insert(h heldLease) {
	at, _ := slices.BinarySearchFunc(p.leases, h, func(x, y heldLease) int { return cmp.Compare(x.expiresAt, y.expiresAt) })
	p.leases = slices.Insert(p.leases, at, h)
}

// usableTokens drops ended leases and returns the tokens left.
func (p *cachedAccount) usableTokens(now clock.Millis) float64 {
	ended := 0
	for ended < len(p.leases) && p.leases[ended].expiresAt <= now {
		ended++
	}
	p.leases = p.leases[ended:]
	var sum float64
	for _, h := range p.leases {
		sum += h.remaining
	}
	return sum
}

func (p *cachedAccount) decayDemand(now clock.Millis) {
	if now > p.demandAt {
		p.demand *= math.Exp(-float64(now-p.demandAt) / float64(demandTimeConstant))
		p.demandAt = now
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

// Owners returns the owners of the account's seats under the VM lists of all domains; seats is Limit.Seats.
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
			at := slices.IndexFunc(owners, func(other Owner) bool { return other.Node == o.Node })
			if at < 0 {
				at = len(owners)
				owners = append(owners, o)
			}
			owners[at].Seats++
		}
	}
	return owners
}
