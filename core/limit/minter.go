package limit

import (
	"cmp"
	"maps"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/seat"
)

const (
	// DefaultLease is the time for which a holder may use leased tokens, measured from sending the draw.
	DefaultLease clock.Millis = 2000
	// smallest is the least number of tokens that is worth a lease; smaller remainders stay in the seat.
	smallest = 1e-6
	// tokensPerSeat is the least share of a burst, in tokens, for which an account gets a further seat. More seats of a
	// small account cost refusals and messages, because seats at their cap stop accruing while others are empty; fewer
	// seats lose more of the rate when a minter dies.
	tokensPerSeat = 8
	// reshapeWait is the time for which new seats wait after a change of the number of seats, because nodes that
	// have not seen the change still use the old seats; every section is in force everywhere within 7 s.
	reshapeWait clock.Millis = 10000
)

// Limit is an account's rate in tokens per second and burst in tokens over the whole fleet.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Seats returns the number of seats per domain into which the limit is split. Small accounts use fewer seats than
// the published number: seats with small caps stop accruing while others are empty, and calls are refused for it.
func (l Limit) Seats(domains, seatsPerDomain int) int {
	return max(1, min(seatsPerDomain, int(l.Burst/float64(domains)/tokensPerSeat)))
}

// Ownership tells which seats this node may use; *seat.Fence implements it.
type Ownership interface {
	Owned(key string, now clock.Millis) (since clock.Millis, ok bool)
}

// Demand asks for tokens of one account.
type Demand struct {
	Account string
	Tokens  float64
	// Lease is the longest lease that the holder needs; 0 means the minter's own.
	Lease clock.Millis
}

// Lease is a number of tokens from one seat; in a return, Tokens is the unused part.
type Lease struct {
	Account string
	Seat    int
	ID      uint64
	Tokens  float64
	// Duration runs from the grant at the minter and from sending the draw at the holder.
	Duration clock.Millis
	// Fill is the part of the cap that the minter's seats of the account still hold after the grant, 0 to 1.
	Fill float64
	// From is the minter of a lease that another holder passes on; empty for the node that replies.
	From Minted
}

// Layout is the division of every limit into seats.
type Layout struct {
	// Domain is the failure domain of this node.
	Domain         string
	Domains        int
	SeatsPerDomain int
}

// Minter holds the token buckets of the seats that this node owns. It is not safe for concurrent use.
type Minter struct {
	ownership Ownership
	lease     clock.Millis
	layout    Layout
	accounts  map[string]*minted
	nextID    uint64
}

// minted is one account at a minter.
type minted struct {
	rate    float64 // tokens per millisecond and seat
	burst   float64 // tokens per seat
	since   clock.Millis
	keys    []string
	buckets map[int]*bucket
}

// bucket holds the tokens of one seat.
type bucket struct {
	balance     float64
	outstanding float64
	at          clock.Millis
	since       clock.Millis
	leases      map[uint64]grant
}

// grant is an outstanding lease.
type grant struct {
	tokens float64
	end    clock.Millis
}

// NewMinter returns a minter without accounts; lease is the duration of its leases, 0 for the default.
func NewMinter(ownership Ownership, lease clock.Millis) *Minter {
	if lease == 0 {
		lease = DefaultLease
	}
	return &Minter{ownership: ownership, lease: lease, accounts: make(map[string]*minted)}
}

// SetLimits takes new limits into use. A higher burst adds room, not tokens; an account that is no longer listed
// mints nothing. Seats that a changed layout or number of seats adds stay empty until all nodes use the new one.
func (m *Minter) SetLimits(layout Layout, limits map[string]Limit, now clock.Millis) {
	start := now
	if layout != m.layout {
		if m.layout != (Layout{}) {
			start += reshapeWait
		}
		m.layout = layout
		m.accounts = make(map[string]*minted)
	}
	for id, a := range m.accounts {
		for i := range a.buckets {
			m.refresh(a, i, now)
		}
		if _, listed := limits[id]; listed {
			continue
		}
		if a.rate == 0 && now >= a.since+m.lease {
			delete(m.accounts, id)
			continue
		}
		if a.rate > 0 {
			a.rate, a.burst, a.since = 0, 0, now
		}
	}
	for id, l := range limits {
		a := m.accounts[id]
		if a == nil {
			a = &minted{since: start, buckets: make(map[int]*bucket)}
			m.accounts[id] = a
		}
		m.setLimit(a, id, l, now)
	}
}

func (m *Minter) setLimit(a *minted, id string, l Limit, now clock.Millis) {
	seats := l.Seats(m.layout.Domains, m.layout.SeatsPerDomain)
	shares := float64(m.layout.Domains * seats)
	rate, burst := l.RatePerSecond/shares/1000, l.Burst/shares
	switch {
	case len(a.keys) == 0:
	case len(a.keys) != seats:
		a.since = now + reshapeWait
	case a.rate != rate || a.burst != burst:
		// Seats without a bucket accrue from the change on, since the earlier limits are not kept.
		a.since = max(a.since, now)
	}
	if len(a.keys) != seats {
		a.keys = nil
		for i := range seats {
			a.keys = append(a.keys, seat.Key(id, m.layout.Domain, i))
		}
		maps.DeleteFunc(a.buckets, func(i int, _ *bucket) bool { return i >= seats })
	}
	a.rate, a.burst = rate, burst
	for i := range a.buckets {
		m.refresh(a, i, now)
	}
}

// Draw leases up to the tokens demanded of each account, taking the fullest seats first so that few stand at
// their cap. It grants what there is and nothing for unknown accounts.
func (m *Minter) Draw(demands []Demand, now clock.Millis) []Lease {
	var leases []Lease
	for _, d := range demands {
		a := m.accounts[d.Account]
		if a == nil {
			continue
		}
		first := len(leases)
		seats := m.ownedSeats(a, now)
		slices.SortFunc(seats, func(x, y int) int { return cmp.Compare(a.buckets[y].balance, a.buckets[x].balance) })
		want, lease := d.Tokens, m.lease
		if d.Lease > 0 {
			lease = min(lease, d.Lease)
		}
		for _, i := range seats {
			b := a.buckets[i]
			tokens := min(want, b.balance)
			if tokens < smallest {
				break
			}
			want -= tokens
			m.nextID++
			b.lend(m.nextID, tokens, now+lease)
			leases = append(leases, Lease{Account: d.Account, Seat: i, ID: m.nextID, Tokens: tokens, Duration: lease})
		}
		part := a.fill(seats)
		for i := first; i < len(leases); i++ {
			leases[i].Fill = part
		}
	}
	return leases
}

// Available returns the tokens of the account that this node could lease now.
func (m *Minter) Available(account string, now clock.Millis) float64 {
	a := m.accounts[account]
	if a == nil {
		return 0
	}
	var sum float64
	for _, i := range m.ownedSeats(a, now) {
		sum += a.buckets[i].balance
	}
	return sum
}

// Return ends leases before their time: Tokens of each go back to the seat, and the rest counts as spent.
// Leases that ended or were returned already are ignored. The caller drops returns for another incarnation.
func (m *Minter) Return(leases []Lease, now clock.Millis) {
	for _, l := range leases {
		a := m.accounts[l.Account]
		if a == nil || a.buckets[l.Seat] == nil {
			continue
		}
		m.refresh(a, l.Seat, now)
		b := a.buckets[l.Seat]
		g, ok := b.leases[l.ID]
		if !ok {
			continue
		}
		delete(b.leases, l.ID)
		b.outstanding -= g.tokens
		b.balance += min(max(l.Tokens, 0), g.tokens)
		b.clip(a.burst)
	}
}

// Release empties a seat that moves to another node and returns the tokens that move with it.
func (m *Minter) Release(account string, index int, now clock.Millis) float64 {
	a := m.accounts[account]
	if a == nil || a.buckets[index] == nil {
		return 0
	}
	b := a.buckets[index]
	b.expire(now)
	b.clip(a.burst)
	tokens := b.balance
	b.balance = 0
	// The lease table stays, so that the seat starts within its cap should it come back.
	b.since = clock.Never
	return tokens
}

// Accept puts the tokens that came with a released seat into it. The caller passes each reply once, after the
// seat's ownership has begun; tokens for a seat that is not owned are lost.
func (m *Minter) Accept(account string, index int, tokens float64, now clock.Millis) {
	a := m.accounts[account]
	if a == nil || index < 0 || index >= len(a.keys) || !m.refresh(a, index, now) {
		return
	}
	b := a.buckets[index]
	b.balance += max(tokens, 0)
	b.clip(a.burst)
}

// fill returns the part of the seats' caps that their balances make up.
func (a *minted) fill(seats []int) float64 {
	var sum float64
	for _, i := range seats {
		sum += a.buckets[i].balance
	}
	return sum / max(smallest, a.burst*float64(len(seats)))
}

func (m *Minter) ownedSeats(a *minted, now clock.Millis) []int {
	var seats []int
	for i := range a.keys {
		if m.refresh(a, i, now) {
			seats = append(seats, i)
		}
	}
	return seats
}

// refresh brings a seat's bucket up to date and reports whether this node may use it.
func (m *Minter) refresh(a *minted, index int, now clock.Millis) bool {
	since, ok := m.ownership.Owned(a.keys[index], now)
	b := a.buckets[index]
	if b == nil {
		if !ok {
			return false
		}
		b = &bucket{since: since, at: max(since+m.lease, a.since), leases: make(map[uint64]grant)}
		a.buckets[index] = b
	}
	b.expire(now)
	if !ok {
		return false
	}
	if b.since == clock.Never || since > b.since {
		// Another owner may have leased the whole burst until just before, so minting waits until such leases end.
		b.since, b.balance = since, 0
		b.at = max(since+m.lease, a.since, b.at)
	}
	if now > b.at {
		b.balance += a.rate * float64(now-b.at)
		b.at = now
	}
	b.clip(a.burst)
	return true
}

func (b *bucket) lend(id uint64, tokens float64, end clock.Millis) {
	b.balance -= tokens
	b.outstanding += tokens
	b.leases[id] = grant{tokens: tokens, end: end}
}

func (b *bucket) expire(now clock.Millis) {
	for id, g := range b.leases {
		if g.end <= now {
			delete(b.leases, id)
			b.outstanding -= g.tokens
		}
	}
	if len(b.leases) == 0 {
		b.outstanding = 0
	}
}

func (b *bucket) clip(burst float64) {
	b.balance = max(0, min(b.balance, burst-b.outstanding))
}
