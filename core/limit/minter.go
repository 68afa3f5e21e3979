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
	// minTokens is the least number of tokens that is worth a lease; smaller remainders stay in the seat.
	minTokens = 1e-6
	// minBurstPerSeat is the least share of a burst, in tokens, for which an account gets a further seat. More seats of a
	// small account cost refusals and messages, because seats at their cap stop accruing while others are empty; fewer
	// seats lose more of the rate when a minter dies.
	minBurstPerSeat = 8
	// seatChangeDelay is the time for which new seats wait after a change of the number of seats, because nodes that
	// have not seen the change still use the old seats; every section is in force everywhere within 7 s.
	seatChangeDelay clock.Millis = 10000
)

// Limit is an account's rate in tokens per second and burst in tokens over the whole fleet.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Seats returns the number of seats per domain into which the limit is split. Small accounts use fewer seats than
// the published number: seats with small caps stop accruing while others are empty, and calls are refused for it.
func (l Limit) Seats(domains, seatsPerDomain int) int {
	return max(1, min(seatsPerDomain, int(l.Burst/float64(domains)/minBurstPerSeat)))
}

// Ownership tells which seats this node may use; *seat.Fence implements it.
type Ownership interface {
	OwnedSince(key string, now clock.Millis) (since clock.Millis, ok bool)
}

// Demand asks for tokens of one account.
type Demand struct {
	Account string
	Tokens  float64
	// MaxLease is the longest lease that the holder needs; 0 means the minter's own.
	MaxLease clock.Millis
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
	// Issuer is the minter of a lease that another holder passes on; empty for the node that replies.
	Issuer IssuerID
}

// Layout is the division of every limit into seats.
type Layout struct {
	// Domain is the failure domain of this node.
	Domain         string
	Domains        int
	SeatsPerDomain int
}

// Issuer holds the token buckets of the seats that this node owns. It is not safe for concurrent use.
type Issuer struct {
	ownership Ownership
	lease     clock.Millis
	layout    Layout
	accounts  map[string]*issuerAccount
	nextID    uint64
}

// issuerAccount is one account at a minter.
type issuerAccount struct {
	rate         float64 // tokens per millisecond and seat
	burst        float64 // tokens per seat
	accrualStart clock.Millis
	keys         []string
	buckets      map[int]*seatBucket
}

// seatBucket holds the tokens of one seat.
type seatBucket struct {
	balance     float64
	outstanding float64
	refilledAt  clock.Millis
	ownedSince  clock.Millis
	leases      map[uint64]outstandingLease
}

// outstandingLease is an outstanding lease.
type outstandingLease struct {
	tokens    float64
	expiresAt clock.Millis
}

// NewIssuer returns a minter without accounts; lease is the duration of its leases, 0 for the default.
func NewIssuer(ownership Ownership, lease clock.Millis) *Issuer {
	if lease == 0 {
		lease = DefaultLease
	}
	return &Issuer{ownership: ownership, lease: lease, accounts: make(map[string]*issuerAccount)}
}

// SetLimits takes new limits into use. A higher burst adds room, not tokens; an account that is no longer listed
// mints nothing. Seats that a changed layout or number of seats adds stay empty until all nodes use the new one.
func (m *Issuer) SetLimits(layout Layout, limits map[string]Limit, now clock.Millis) {
	start := now
	if layout != m.layout {
		if m.layout != (Layout{}) {
			start += seatChangeDelay
		}
		m.layout = layout
		m.accounts = make(map[string]*issuerAccount)
	}
	for id, a := range m.accounts {
		for i := range a.buckets {
			m.refreshSeat(a, i, now)
		}
		if _, listed := limits[id]; listed {
			continue
		}
		if a.rate == 0 && now >= a.accrualStart+m.lease {
			delete(m.accounts, id)
			continue
		}
		if a.rate > 0 {
			a.rate, a.burst, a.accrualStart = 0, 0, now
		}
	}
	for id, l := range limits {
		a := m.accounts[id]
		if a == nil {
			a = &issuerAccount{accrualStart: start, buckets: make(map[int]*seatBucket)}
			m.accounts[id] = a
		}
		m.setLimit(a, id, l, now)
	}
}

func (m *Issuer) setLimit(a *issuerAccount, id string, l Limit, now clock.Millis) {
	seats := l.Seats(m.layout.Domains, m.layout.SeatsPerDomain)
	shares := float64(m.layout.Domains * seats)
	rate, burst := l.RatePerSecond/shares/1000, l.Burst/shares
	switch {
	case len(a.keys) == 0:
	case len(a.keys) != seats:
		a.accrualStart = now + seatChangeDelay
	case a.rate != rate || a.burst != burst:
		// Seats without a bucket accrue from the change on, since the earlier limits are not kept.
		a.accrualStart = max(a.accrualStart, now)
	}
	if len(a.keys) != seats {
		a.keys = nil
		for i := range seats {
			a.keys = append(a.keys, seat.Key(id, m.layout.Domain, i))
		}
		maps.DeleteFunc(a.buckets, func(i int, _ *seatBucket) bool { return i >= seats })
	}
	a.rate, a.burst = rate, burst
	for i := range a.buckets {
		m.refreshSeat(a, i, now)
	}
}

// Draw leases up to the tokens demanded of each account, taking the fullest seats first so that few stand at
// their cap. It grants what there is and nothing for unknown accounts.
func (m *Issuer) Draw(demands []Demand, now clock.Millis) []Lease {
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
		if d.MaxLease > 0 {
			lease = min(lease, d.MaxLease)
		}
		for _, i := range seats {
			b := a.buckets[i]
			tokens := min(want, b.balance)
			if tokens < minTokens {
				break
			}
			want -= tokens
			m.nextID++
			b.addLease(m.nextID, tokens, now+lease)
			leases = append(leases, Lease{Account: d.Account, Seat: i, ID: m.nextID, Tokens: tokens, Duration: lease})
		}
		part := a.fillLevel(seats)
		for i := first; i < len(leases); i++ {
			leases[i].Fill = part
		}
	}
	return leases
}

// Available returns the tokens of the account that this node could lease now.
func (m *Issuer) Available(account string, now clock.Millis) float64 {
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
func (m *Issuer) Return(leases []Lease, now clock.Millis) {
	for _, l := range leases {
		a := m.accounts[l.Account]
		if a == nil || a.buckets[l.Seat] == nil {
			continue
		}
		m.refreshSeat(a, l.Seat, now)
		b := a.buckets[l.Seat]
		g, ok := b.leases[l.ID]
		if !ok {
			continue
		}
		delete(b.leases, l.ID)
		b.outstanding -= g.tokens
		b.balance += min(max(l.Tokens, 0), g.tokens)
		b.clampBalance(a.burst)
	}
}

// ReleaseSeat empties a seat that moves to another node and returns the tokens that move with it.
func (m *Issuer) ReleaseSeat(account string, index int, now clock.Millis) float64 {
	a := m.accounts[account]
	if a == nil || a.buckets[index] == nil {
		return 0
	}
	b := a.buckets[index]
	b.dropExpired(now)
	b.clampBalance(a.burst)
	tokens := b.balance
	b.balance = 0
	// The lease table stays, so that the seat starts within its cap should it come back.
	b.ownedSince = clock.Never
	return tokens
}

// AcceptSeat puts the tokens that came with a released seat into it. The caller passes each reply once, after the
// seat's ownership has begun; tokens for a seat that is not owned are lost.
func (m *Issuer) AcceptSeat(account string, index int, tokens float64, now clock.Millis) {
	a := m.accounts[account]
	if a == nil || index < 0 || index >= len(a.keys) || !m.refreshSeat(a, index, now) {
		return
	}
	b := a.buckets[index]
	b.balance += max(tokens, 0)
	b.clampBalance(a.burst)
}

// fillLevel returns the part of the seats' caps that their balances make up.
func (a *issuerAccount) fillLevel(seats []int) float64 {
	var sum float64
	for _, i := range seats {
		sum += a.buckets[i].balance
	}
	return sum / max(minTokens, a.burst*float64(len(seats)))
}

func (m *Issuer) ownedSeats(a *issuerAccount, now clock.Millis) []int {
	var seats []int
	for i := range a.keys {
		if m.refreshSeat(a, i, now) {
			seats = append(seats, i)
		}
	}
	return seats
}

// refreshSeat brings a seat's bucket up to date and reports whether this node may use it.
func (m *Issuer) refreshSeat(a *issuerAccount, index int, now clock.Millis) bool {
	since, ok := m.ownership.OwnedSince(a.keys[index], now)
	b := a.buckets[index]
	if b == nil {
		if !ok {
			return false
		}
		b = &seatBucket{ownedSince: since, refilledAt: max(since+m.lease, a.accrualStart), leases: make(map[uint64]outstandingLease)}
		a.buckets[index] = b
	}
	b.dropExpired(now)
	if !ok {
		return false
	}
	if b.ownedSince == clock.Never || since > b.ownedSince {
		// Another owner may have leased the whole burst until just before, so minting waits until such leases end.
		b.ownedSince, b.balance = since, 0
		b.refilledAt = max(since+m.lease, a.accrualStart, b.refilledAt)
	}
	if now > b.refilledAt {
		b.balance += a.rate * float64(now-b.refilledAt)
		b.refilledAt = now
	}
	b.clampBalance(a.burst)
	return true
}

func (b *seatBucket) addLease(id uint64, tokens float64, end clock.Millis) {
	b.balance -= tokens
	b.outstanding += tokens
	b.leases[id] = outstandingLease{tokens: tokens, expiresAt: end}
}

func (b *seatBucket) dropExpired(now clock.Millis) {
	for id, g := range b.leases {
		if g.expiresAt <= now {
			delete(b.leases, id)
			b.outstanding -= g.tokens
		}
	}
	if len(b.leases) == 0 {
		b.outstanding = 0
	}
}

func (b *seatBucket) clampBalance(burst float64) {
	b.balance = max(0, min(b.balance, burst-b.outstanding))
}
