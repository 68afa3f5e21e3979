package limit

import (
	"cmp"
	"maps"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/seat"
)

const (
	// DefaultLease is the time for which a holder may use leased tokens, counted from the moment at which it sent the draw.
	DefaultLease clock.Millis = 2000
	// minTokens is the smallest number of tokens that is leased; smaller remainders stay in the seat.
	minTokens = 1e-6
	// minBurstPerSeat is the smallest share of the burst, in tokens, for which an account gets another seat. More seats for
	// a small account cause refusals and messages, because full seats stop accruing while others are empty. Fewer seats lose
	// more of the rate when an issuer fails.
	minBurstPerSeat = 8
	// seatChangeDelay is the time for which new seats stay empty after the number of seats has changed. Nodes that have not
	// seen the change still use the old seats; a published section is in force on every node within 7 s.
	seatChangeDelay clock.Millis = 10000
)

// Limit is an account's rate in tokens per second and its burst in tokens, both for the whole fleet.
type Limit struct {
	RatePerSecond float64
	Burst         float64
}

// Seats returns the number of seats per domain into which the limit is split. Small accounts use fewer seats than the
// published number, because seats with a small cap stop accruing when they are full while others are empty, and calls
// would be refused.
func (l Limit) Seats(domains, seatsPerDomain int) int {
	return max(1, min(seatsPerDomain, int(l.Burst/float64(domains)/minBurstPerSeat)))
}

// Ownership reports which seats this node may use; *seat.Ownership implements it.
type Ownership interface {
	OwnedSince(key string, now clock.Millis) (since clock.Millis, ok bool)
}

// Demand is a request for tokens of one account.
type Demand struct {
	Account string
	Tokens  float64
	// MaxLease is the longest lease duration that the holder needs; 0 means the issuer's default.
	MaxLease clock.Millis
}

// Lease grants a number of tokens from one seat. In a return, Tokens is the unused number.
type Lease struct {
	Account string
	Seat    int
	ID      uint64
	Tokens  float64
	// Duration counts from the grant at the issuer and from sending the draw at the holder.
	Duration clock.Millis
	// Fill is the fraction of the cap, 0 to 1, that the issuer's seats of the account still hold after the grant.
	Fill float64
	// Issuer is the issuer of a lease that another holder lends; it is empty if the replying node granted the lease.
	Issuer IssuerID
}

// Layout describes how every limit is divided into seats.
type Layout struct {
	// Domain is the failure domain of this node.
	Domain         string
	Domains        int
	SeatsPerDomain int
}

// Issuer holds the token buckets of the seats that this node owns, and leases their tokens. It is not safe for concurrent
// use.
type Issuer struct {
	ownership Ownership
	lease     clock.Millis
	layout    Layout
	accounts  map[string]*issuerAccount
	nextID    uint64
}

// issuerAccount is the state of one account at an issuer.
type issuerAccount struct {
	rate  float64 // tokens per millisecond and seat
	burst float64 // tokens per seat
	// accrualStart is the time before which new buckets don't accrue tokens, or the time at which the account was removed.
	accrualStart clock.Millis
	keys         []string
	buckets      map[int]*seatBucket
}

// seatBucket is the token bucket of one seat.
type seatBucket struct {
	balance     float64
	outstanding float64
	refilledAt  clock.Millis
	ownedSince  clock.Millis
	leases      map[uint64]outstandingLease
}

// outstandingLease is a lease that has neither expired nor been returned.
type outstandingLease struct {
	tokens    float64
	expiresAt clock.Millis
}

// NewIssuer returns an issuer without accounts. lease is the longest duration of its leases; 0 means DefaultLease.
func NewIssuer(ownership Ownership, lease clock.Millis) *Issuer {
	if lease == 0 {
		lease = DefaultLease
	}
	return &Issuer{ownership: ownership, lease: lease, accounts: make(map[string]*issuerAccount)}
}

// SetLimits replaces the limits. A higher burst raises the cap but adds no tokens, and an account that is no longer
// listed accrues none. Seats that are new because the layout or the number of seats has changed stay empty until all
// nodes use the new division.
func (iss *Issuer) SetLimits(layout Layout, limits map[string]Limit, now clock.Millis) {
	accrualStart := now
	if layout != iss.layout {
		if iss.layout != (Layout{}) {
			accrualStart += seatChangeDelay
		}
		iss.layout = layout
		iss.accounts = make(map[string]*issuerAccount)
	}
	for id, a := range iss.accounts {
		for i := range a.buckets {
			iss.refreshSeat(a, i, now)
		}
		if _, listed := limits[id]; listed {
			continue
		}
		if a.rate == 0 && now >= a.accrualStart+iss.lease {
			delete(iss.accounts, id)
			continue
		}
		if a.rate > 0 {
			a.rate, a.burst, a.accrualStart = 0, 0, now
		}
	}
	for id, limit := range limits {
		a := iss.accounts[id]
		if a == nil {
			a = &issuerAccount{accrualStart: accrualStart, buckets: make(map[int]*seatBucket)}
			iss.accounts[id] = a
		}
		iss.setLimit(a, id, limit, now)
	}
}

func (iss *Issuer) setLimit(a *issuerAccount, id string, limit Limit, now clock.Millis) {
	seats := limit.Seats(iss.layout.Domains, iss.layout.SeatsPerDomain)
	shares := float64(iss.layout.Domains * seats)
	rate, burst := limit.RatePerSecond/shares/1000, limit.Burst/shares
	switch {
	case len(a.keys) == 0:
	case len(a.keys) != seats:
		a.accrualStart = now + seatChangeDelay
	case a.rate != rate || a.burst != burst:
		// Seats without a bucket accrue from this change on, because the earlier limits are not kept.
		a.accrualStart = max(a.accrualStart, now)
	}
	if len(a.keys) != seats {
		a.keys = nil
		for i := range seats {
			a.keys = append(a.keys, seat.Key(id, iss.layout.Domain, i))
		}
		maps.DeleteFunc(a.buckets, func(i int, _ *seatBucket) bool { return i >= seats })
	}
	a.rate, a.burst = rate, burst
	for i := range a.buckets {
		iss.refreshSeat(a, i, now)
	}
}

// Draw leases up to the demanded number of tokens of each account. It takes them from the fullest seats first, so that
// few seats are full and stop accruing. Unknown accounts get nothing.
func (iss *Issuer) Draw(demands []Demand, now clock.Millis) []Lease {
	var leases []Lease
	for _, d := range demands {
		a := iss.accounts[d.Account]
		if a == nil {
			continue
		}
		firstLease := len(leases)
		seats := iss.ownedSeats(a, now)
		slices.SortFunc(seats, func(i, j int) int { return cmp.Compare(a.buckets[j].balance, a.buckets[i].balance) })
		missing, duration := d.Tokens, iss.lease
		if d.MaxLease > 0 {
			duration = min(duration, d.MaxLease)
		}
		for _, i := range seats {
			b := a.buckets[i]
			tokens := min(missing, b.balance)
			if tokens < minTokens {
				break
			}
			missing -= tokens
			iss.nextID++
			b.addLease(iss.nextID, tokens, now+duration)
			leases = append(leases, Lease{Account: d.Account, Seat: i, ID: iss.nextID, Tokens: tokens, Duration: duration})
		}
		fill := a.fillLevel(seats)
		for i := firstLease; i < len(leases); i++ {
			leases[i].Fill = fill
		}
	}
	return leases
}

// Available returns the number of the account's tokens that this node can lease now.
func (iss *Issuer) Available(account string, now clock.Millis) float64 {
	a := iss.accounts[account]
	if a == nil {
		return 0
	}
	var sum float64
	for _, i := range iss.ownedSeats(a, now) {
		sum += a.buckets[i].balance
	}
	return sum
}

// Return ends leases early: Tokens of each lease go back to the seat, and the rest counts as spent. Leases that have
// expired or were returned before are ignored. The caller drops returns that are meant for another incarnation.
func (iss *Issuer) Return(leases []Lease, now clock.Millis) {
	for _, l := range leases {
		a := iss.accounts[l.Account]
		if a == nil || a.buckets[l.Seat] == nil {
			continue
		}
		iss.refreshSeat(a, l.Seat, now)
		b := a.buckets[l.Seat]
		granted, ok := b.leases[l.ID]
		if !ok {
			continue
		}
		delete(b.leases, l.ID)
		b.outstanding -= granted.tokens
		b.balance += min(max(l.Tokens, 0), granted.tokens)
		b.clampBalance(a.burst)
	}
}

// ReleaseSeat empties a seat that moves to another node, and returns the tokens to transfer with it.
func (iss *Issuer) ReleaseSeat(account string, index int, now clock.Millis) float64 {
	a := iss.accounts[account]
	if a == nil || a.buckets[index] == nil {
		return 0
	}
	b := a.buckets[index]
	b.dropExpired(now)
	b.clampBalance(a.burst)
	tokens := b.balance
	b.balance = 0
	// The outstanding leases are kept, so that the seat stays within its cap if it comes back to this node.
	b.ownedSince = clock.Never
	return tokens
}

// AcceptSeat adds the tokens that were transferred with a seat. The caller passes each reply once, after this node has
// become the seat's owner; tokens for a seat that this node doesn't own are lost.
func (iss *Issuer) AcceptSeat(account string, index int, tokens float64, now clock.Millis) {
	a := iss.accounts[account]
	if a == nil || index < 0 || index >= len(a.keys) || !iss.refreshSeat(a, index, now) {
		return
	}
	b := a.buckets[index]
	b.balance += max(tokens, 0)
	b.clampBalance(a.burst)
}

// fillLevel returns the fraction of the seats' total cap that their balances make up.
func (a *issuerAccount) fillLevel(seats []int) float64 {
	var sum float64
	for _, i := range seats {
		sum += a.buckets[i].balance
	}
	return sum / max(minTokens, a.burst*float64(len(seats)))
}

func (iss *Issuer) ownedSeats(a *issuerAccount, now clock.Millis) []int {
	var seats []int
	for i := range a.keys {
		if iss.refreshSeat(a, i, now) {
			seats = append(seats, i)
		}
	}
	return seats
}

// refreshSeat brings a seat's bucket up to date and reports whether this node may use the seat.
func (iss *Issuer) refreshSeat(a *issuerAccount, index int, now clock.Millis) bool {
	since, ok := iss.ownership.OwnedSince(a.keys[index], now)
	b := a.buckets[index]
	if b == nil {
		if !ok {
			return false
		}
		b = &seatBucket{ownedSince: since, refilledAt: max(since+iss.lease, a.accrualStart),
			leases: make(map[uint64]outstandingLease)}
		a.buckets[index] = b
	}
	b.dropExpired(now)
	if !ok {
		return false
	}
	if b.ownedSince == clock.Never || since > b.ownedSince {
		// Another owner may have leased the whole burst just before, so accrual starts only when such leases have expired.
		b.ownedSince, b.balance = since, 0
		b.refilledAt = max(since+iss.lease, a.accrualStart, b.refilledAt)
	}
	if now > b.refilledAt {
		b.balance += a.rate * float64(now-b.refilledAt)
		b.refilledAt = now
	}
	b.clampBalance(a.burst)
	return true
}

func (b *seatBucket) addLease(id uint64, tokens float64, expiresAt clock.Millis) {
	b.balance -= tokens
	b.outstanding += tokens
	b.leases[id] = outstandingLease{tokens: tokens, expiresAt: expiresAt}
}

func (b *seatBucket) dropExpired(now clock.Millis) {
	for id, granted := range b.leases {
		if granted.expiresAt <= now {
			delete(b.leases, id)
			b.outstanding -= granted.tokens
		}
	}
	if len(b.leases) == 0 {
		b.outstanding = 0
	}
}

func (b *seatBucket) clampBalance(burst float64) {
	b.balance = max(0, min(b.balance, burst-b.outstanding))
}
