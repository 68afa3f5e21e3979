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
	// DefaultAhead is the longest time of smoothed demand that a wallet keeps in stock.
	DefaultAhead clock.Millis = 500
	// aheadPart is the part of an account's burst that all wallets together keep in stock at most, when the account
	// sends at its rate. What lies in wallets cannot even out a peak of the demand elsewhere.
	aheadPart = 0.125
	// smoothing is the time constant of the demand average.
	smoothing clock.Millis = 1000
	// aheadLease is the lease for stock, in times of the period that the stock is for. It ends soon after the tokens are
	// expected to be spent, so that the seat's cap is free again without a message that reports them as spent.
	aheadLease = 1.5
	// heldPart is the part of a lease after which unused tokens go back to their minter.
	heldPart = 0.7
	// CallLease is the lease for tokens that waiting calls spend as soon as the reply arrives.
	CallLease clock.Millis = 40
	// leastLent is the remaining time below which a lease is not worth passing on.
	leastLent clock.Millis = 20
	// smallBurst is the greatest burst, in tokens, of which no seat may stand at its cap while others are empty.
	smallBurst = 40
	// evenBurst is the greatest burst, in tokens, for which every draw is spread over all seats.
	evenBurst = 20
	// localLead is the difference in the filled part of the seats up to which a node takes tokens from its own seats,
	// which costs no message, before it asks others.
	localLead = 0.6
	// rounding is the shortfall that still counts as a whole token after adding fractions.
	rounding = 1e-9
)

// WalletConfig holds the times of a wallet in milliseconds; zero values mean the defaults.
type WalletConfig struct {
	Ahead clock.Millis
}

// Minted names the minter that granted a lease.
type Minted struct {
	Node        string
	Incarnation uint64
}

// Returned is a batch of leases to give back to one minter.
type Returned struct {
	Minted
	Leases []Lease
	// Small is set if an account has so small a burst that its spent leases are reported too.
	Small bool
}

// worthReturning is the number of unused tokens from which returning them is worth a message.
const worthReturning = 0.5

// WorthMessage reports whether the batch is to be sent on its own. Other batches go with the next draw from the same
// minter, or lapse.
func (r Returned) WorthMessage() bool {
	var sum float64
	for _, l := range r.Leases {
		sum += l.Tokens
	}
	return r.Small || sum >= worthReturning
}

// Wallet holds the tokens that this node has leased. It is not safe for concurrent use.
type Wallet struct {
	config   WalletConfig
	accounts map[string]*purse
	limits   map[string]Limit
	draws    map[uint64]draw
	nextDraw uint64
	closed   []holding
}

// purse holds one account's leases, the soonest to end first.
type purse struct {
	holdings []holding
	inFlight float64
	demand   float64 // tokens per millisecond, smoothed
	at       clock.Millis
	fills    map[string]fill // by node
	ahead    float64         // milliseconds of demand to keep in stock
}

// fill is how full a node's seats of an account were after the last draw.
type fill struct {
	part float64
	at   clock.Millis
}

// holding is a lease at its holder.
type holding struct {
	from  Minted
	lease Lease
	left  float64
	end   clock.Millis
	useBy clock.Millis
}

// draw is a request for tokens whose reply is awaited.
type draw struct {
	node    string
	demands []Demand
	sentAt  clock.Millis
}

// NewWallet returns an empty wallet.
func NewWallet(config WalletConfig) *Wallet {
	if config.Ahead == 0 {
		config.Ahead = DefaultAhead
	}
	return &Wallet{config: config, accounts: make(map[string]*purse), draws: make(map[uint64]draw)}
}

// SetLimits takes new limits into use; they bound what the wallet draws ahead.
func (w *Wallet) SetLimits(limits map[string]Limit) {
	w.limits = limits
	for account, p := range w.accounts {
		p.ahead = w.aheadOf(limits[account])
	}
}

func (w *Wallet) aheadOf(l Limit) float64 {
	if l.RatePerSecond <= 0 || l.Burst <= smallBurst {
		return 0
	}
	return min(float64(w.config.Ahead), aheadPart*l.Burst/l.RatePerSecond*1000)
}

// Demanded notes one call of the account; call it once per call, before the first Take.
func (w *Wallet) Demanded(account string, now clock.Millis) {
	p := w.purse(account)
	p.decay(now)
	p.demand += 1 / float64(smoothing)
}

// Take spends one token of the account if the wallet holds one, adding up fractions of several leases.
func (w *Wallet) Take(account string, now clock.Millis) bool {
	p := w.purse(account)
	if p.usable(now) < 1-rounding {
		return false
	}
	need := 1.0
	for need > rounding && len(p.holdings) > 0 {
		h := &p.holdings[0]
		tokens := min(need, h.left)
		need -= tokens
		h.left -= tokens
		if h.left < rounding {
			h.left = 0
			w.closed = append(w.closed, *h)
			p.holdings = p.holdings[1:]
		}
	}
	return true
}

// Missing returns the tokens to draw so that a number of waiting calls of the account can be admitted.
func (w *Wallet) Missing(account string, calls int, now clock.Millis) float64 {
	return max(0, float64(calls)-w.purse(account).usable(now))
}

// Ahead returns what to draw before it is needed. local tells the tokens of an account that this node mints, which
// need no message. If the stock of any account is below half of its aim, all accounts below their aim are included,
// the emptiest first, so that one message serves them all. Accounts that use less than two tokens in the time of the
// aim draw on demand.
func (w *Wallet) Ahead(local func(account string) float64, now clock.Millis) []Demand {
	var demands []Demand
	levels := make(map[string]float64)
	urgent := false
	for account, p := range w.accounts {
		p.decay(now)
		aim := w.aim(p)
		if aim < 2 {
			continue
		}
		stock := p.usable(now) + p.inFlight + local(account)
		if stock < aim {
			demands = append(demands, Demand{Account: account, Tokens: aim - stock, Lease: p.lease()})
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

// OnDemand returns the demand to send to the first owner for a number of waiting calls, and with ahead set for the
// calls that are expected next.
func (w *Wallet) OnDemand(account string, calls int, ahead bool, now clock.Millis) Demand {
	d := Demand{Account: account, Tokens: w.Missing(account, calls, now), Lease: CallLease}
	p := w.purse(account)
	p.decay(now)
	if more := w.aim(p) - p.usable(now) - p.inFlight; ahead && more > d.Tokens {
		d.Tokens, d.Lease = more, p.lease()
	}
	return d
}

// aim is the stock of tokens for which the wallet draws ahead.
func (w *Wallet) aim(p *purse) float64 {
	return math.Ceil(p.demand * p.ahead)
}

// lease is the lease to ask for with stock.
func (p *purse) lease() clock.Millis {
	return CallLease + clock.Millis(aheadLease*p.ahead)
}

// Lend takes out leases with at least the number of tokens, if there are, for another node that would refuse a call
// otherwise. Leases move whole, because a minter settles each lease once. The remaining time is measured before the
// borrower's own measurement ends, so the lease still ends at the borrower before it ends at the minter.
func (w *Wallet) Lend(account string, tokens float64, now clock.Millis) []Lease {
	p := w.accounts[account]
	if p == nil || p.usable(now) < smallest {
		return nil
	}
	var lent []Lease
	var kept []holding
	for _, h := range p.holdings {
		if tokens < smallest || h.end-now < leastLent {
			kept = append(kept, h)
			continue
		}
		l := h.lease
		l.Tokens, l.Duration, l.From, l.Fill = h.left, h.end-now, h.from, 0
		lent = append(lent, l)
		tokens -= h.left
	}
	p.holdings = kept
	return lent
}

// Held returns the tokens of all accounts that the wallet holds.
func (w *Wallet) Held(now clock.Millis) float64 {
	var sum float64
	for _, p := range w.accounts {
		sum += p.usable(now)
	}
	return sum
}

// Sent notes that a draw is sent at now and returns the number under which its reply is accepted.
func (w *Wallet) Sent(node string, demands []Demand, now clock.Millis) uint64 {
	w.nextDraw++
	w.draws[w.nextDraw] = draw{node: node, demands: demands, sentAt: now}
	for _, d := range demands {
		w.purse(d.Account).inFlight += d.Tokens
	}
	return w.nextDraw
}

// Received adds the leases of a reply. A second reply to the same draw is ignored. Leases end their duration
// after the draw was sent, which is before they end at the minter.
func (w *Wallet) Received(number, incarnation uint64, leases []Lease, now clock.Millis) {
	d, ok := w.draws[number]
	if !ok {
		return
	}
	w.Failed(number)
	for _, demand := range d.demands {
		w.purse(demand.Account).fills[d.node] = fill{at: now}
	}
	for _, l := range leases {
		p := w.purse(l.Account)
		from := l.From
		if from == (Minted{}) {
			from = Minted{Node: d.node, Incarnation: incarnation}
			p.fills[d.node] = fill{part: l.Fill, at: now}
		}
		end := d.sentAt + l.Duration
		if end <= now || l.Tokens <= 0 {
			continue
		}
		p.insert(holding{
			from: from, lease: l, left: l.Tokens, end: end, useBy: d.sentAt + clock.Millis(heldPart*float64(l.Duration)),
		})
	}
}

// Failed forgets a draw that gets no reply.
func (w *Wallet) Failed(number uint64) {
	for _, d := range w.draws[number].demands {
		p := w.purse(d.Account)
		p.inFlight = max(0, p.inFlight-d.Tokens)
	}
	delete(w.draws, number)
}

// Returns takes out the leases that are spent or were not used in time, grouped by minter. Spent leases are
// reported too, because until then they use up the seat's cap.
func (w *Wallet) Returns(now clock.Millis) []Returned {
	return w.collect(now, func(h holding) bool { return h.useBy <= now })
}

// ReturnAll takes out all leases, for a node that is leaving.
func (w *Wallet) ReturnAll(now clock.Millis) []Returned {
	return w.collect(now, func(holding) bool { return true })
}

// ReturnAccount takes out the account's leases, for a call that was refused with a fraction drawn for it.
func (w *Wallet) ReturnAccount(account string, now clock.Millis) []Returned {
	return w.collect(now, func(h holding) bool { return h.lease.Account == account })
}

// Even returns draws that take an equal part of what is missing from each owner, for an account with a very small
// burst; nothing for others. Equal draws keep all seats at the same level, so that together they act as one bucket.
// They cost a message to each owner for each call. The caller sends them at once, and asks in AskOrder for what is
// then missing.
func (w *Wallet) Even(account string, l Limit, owners []Owner, calls int, now clock.Millis) []EvenDraw {
	missing := w.Missing(account, calls, now)
	if missing < smallest || l.Burst > evenBurst {
		return nil
	}
	seats := 0
	for _, o := range owners {
		seats += o.Seats
	}
	draws := make([]EvenDraw, 0, len(owners))
	for _, o := range owners {
		part := missing * float64(o.Seats) / float64(seats)
		draws = append(draws, EvenDraw{Node: o.Node, Demand: Demand{Account: account, Tokens: part, Lease: CallLease}})
	}
	return draws
}

// EvenDraw is a demand on one node.
type EvenDraw struct {
	Node   string
	Demand Demand
}

// AskOrder returns the owners of the account's seats in the order in which to ask them, the fullest first by what
// earlier replies said and the time since. Taking from the fullest seats keeps accrual from stopping at their caps.
// Among equally full ones this node comes first, then its domain; turn varies the order of the others.
func (w *Wallet) AskOrder(account string, l Limit, owners []Owner, turn uint64, now clock.Millis) []string {
	if len(owners) == 0 {
		return nil
	}
	fills := w.purse(account).fills
	level := func(o Owner) float64 {
		f, known := fills[o.Node]
		part := 1.0
		if known {
			part = min(1, f.part+float64(now-f.at)*l.RatePerSecond/1000/max(l.Burst, smallest))
		}
		if o.Distance == 0 && l.Burst > smallBurst {
			part += localLead
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

func (w *Wallet) collect(now clock.Millis, done func(holding) bool) []Returned {
	out := w.closed
	w.closed = nil
	for account, p := range w.accounts {
		p.decay(now)
		p.usable(now)
		var kept []holding
		for _, h := range p.holdings {
			if done(h) {
				out = append(out, h)
			} else {
				kept = append(kept, h)
			}
		}
		p.holdings = kept
		if len(kept) == 0 && p.inFlight == 0 && p.demand*float64(smoothing) < rounding {
			delete(w.accounts, account)
		}
	}
	return w.group(out)
}

func (w *Wallet) group(holdings []holding) []Returned {
	byMinter := make(map[Minted][]Lease)
	for _, h := range holdings {
		l := h.lease
		l.Tokens = h.left
		byMinter[h.from] = append(byMinter[h.from], l)
	}
	out := make([]Returned, 0, len(byMinter))
	for from, leases := range byMinter {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
		small := slices.ContainsFunc(leases, func(l Lease) bool { return w.limits[l.Account].Burst <= evenBurst })
		out = append(out, Returned{Minted: from, Leases: leases, Small: small})
	}
	slices.SortFunc(out, func(a, b Returned) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func (w *Wallet) purse(account string) *purse {
	p := w.accounts[account]
	if p == nil {
		p = &purse{fills: make(map[string]fill), ahead: w.aheadOf(w.limits[account])}
		w.accounts[account] = p
	}
	return p
}

func (p *purse) insert(h holding) {
	at, _ := slices.BinarySearchFunc(p.holdings, h, func(x, y holding) int { return cmp.Compare(x.end, y.end) })
	p.holdings = slices.Insert(p.holdings, at, h)
}

// usable drops ended leases and returns the tokens left.
func (p *purse) usable(now clock.Millis) float64 {
	ended := 0
	for ended < len(p.holdings) && p.holdings[ended].end <= now {
		ended++
	}
	p.holdings = p.holdings[ended:]
	var sum float64
	for _, h := range p.holdings {
		sum += h.left
	}
	return sum
}

func (p *purse) decay(now clock.Millis) {
	if now > p.at {
		p.demand *= math.Exp(-float64(now-p.at) / float64(smoothing))
		p.at = now
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
