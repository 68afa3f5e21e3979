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
	// DefaultHold is the time after which unused tokens go back to their minter.
	DefaultHold clock.Millis = 100
	// DefaultAhead is the time of smoothed demand that a wallet keeps in stock.
	DefaultAhead clock.Millis = 50
	// smoothing is the time constant of the demand average.
	smoothing clock.Millis = 1000
	// rounding is the shortfall that still counts as a whole token after adding fractions.
	rounding = 1e-9
	// evenBurst is the greatest burst, in tokens, for which every draw is spread over all seats.
	evenBurst = 40
)

// WalletConfig holds the times of a wallet in milliseconds; zero values mean the defaults.
type WalletConfig struct {
	Hold  clock.Millis
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
}

// Wallet holds the tokens that this node has leased. It is not safe for concurrent use.
type Wallet struct {
	config   WalletConfig
	accounts map[string]*purse
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
	even     bool            // set for an account that draws on demand from all seats
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
	if config.Hold == 0 {
		config.Hold = DefaultHold
	}
	if config.Ahead == 0 {
		config.Ahead = DefaultAhead
	}
	return &Wallet{config: config, accounts: make(map[string]*purse), draws: make(map[uint64]draw)}
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

// Ahead returns what to draw before it is needed, for accounts whose stock is below half of the aim.
// Small accounts and those that use less than two tokens in that time draw on demand, so that all nodes find the
// tokens.
func (w *Wallet) Ahead(now clock.Millis) []Demand {
	var demands []Demand
	for account, p := range w.accounts {
		p.decay(now)
		aim := math.Ceil(p.demand * float64(w.config.Ahead))
		stock := p.usable(now) + p.inFlight
		if !p.even && aim >= 2 && stock < aim/2 {
			demands = append(demands, Demand{Account: account, Tokens: aim - stock})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int { return cmp.Compare(a.Account, b.Account) })
	return demands
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
		p.fills[d.node] = fill{part: l.Fill, at: now}
		end := d.sentAt + l.Duration
		if end <= now || l.Tokens <= 0 {
			continue
		}
		p.insert(holding{
			from: Minted{Node: d.node, Incarnation: incarnation}, lease: l, left: l.Tokens,
			end: end, useBy: min(now+w.config.Hold, end),
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

// Even returns draws that take an equal part of what is missing from each owner, for a small account; nothing for
// others. Equal draws keep all seats at the same level, so that together they act as one bucket and none stops at its
// cap while others are empty. The caller sends the draws at once, and asks in AskOrder for what is then missing.
func (w *Wallet) Even(account string, l Limit, owners []Owner, calls int, now clock.Millis) []EvenDraw {
	missing := w.Missing(account, calls, now)
	w.purse(account).even = l.Burst <= evenBurst
	if missing < smallest || l.Burst > evenBurst {
		return nil
	}
	draws := make([]EvenDraw, 0, len(owners))
	for _, o := range owners {
		part := missing * float64(o.Seats) / float64(seatsOf(owners))
		draws = append(draws, EvenDraw{Node: o.Node, Demand: Demand{Account: account, Tokens: part}})
	}
	return draws
}

// EvenDraw is a demand on one node.
type EvenDraw struct {
	Node   string
	Demand Demand
}

func seatsOf(owners []Owner) int {
	sum := 0
	for _, o := range owners {
		sum += o.Seats
	}
	return sum
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
		if !known {
			return 1
		}
		return min(1, f.part+float64(now-f.at)*l.RatePerSecond/1000/max(l.Burst, smallest))
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
	return group(out)
}

func group(holdings []holding) []Returned {
	byMinter := make(map[Minted][]Lease)
	for _, h := range holdings {
		l := h.lease
		l.Tokens = h.left
		byMinter[h.from] = append(byMinter[h.from], l)
	}
	out := make([]Returned, 0, len(byMinter))
	for from, leases := range byMinter {
		slices.SortFunc(leases, func(a, b Lease) int { return cmp.Compare(a.ID, b.ID) })
		out = append(out, Returned{Minted: from, Leases: leases})
	}
	slices.SortFunc(out, func(a, b Returned) int {
		return cmp.Or(cmp.Compare(a.Node, b.Node), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return out
}

func (w *Wallet) purse(account string) *purse {
	p := w.accounts[account]
	if p == nil {
		p = &purse{fills: make(map[string]fill)}
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
