package limit_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/limit"
	"coltsfootusher.example/core/seat"
)

// process is one node of the property test; a restart replaces it.
type process struct {
	name, domain string
	incarnation  uint64
	ownership    *seat.Ownership
	issuer       *limit.Issuer
	cache        *limit.TokenCache
}

// message is a delivery that the test may drop, delay, repeat and reorder.
type message struct {
	deliver func()
}

// cluster is two domains of three VMs under the test's control of time and messages.
type cluster struct {
	now        clock.Millis
	lists      map[string][]seat.List
	processes  map[string]*process
	inFlight   []message
	started    uint64
	duplicates bool
	limits     map[string]limit.Limit
}

var layout = limit.Layout{Domains: 2, SeatsPerDomain: 4}

func (c *cluster) start(name string) {
	c.started++
	p := &process{name: name, domain: name[:1], incarnation: c.started}
	p.ownership = seat.New(name, p.incarnation, seat.Config{})
	p.ownership.SetList(c.newest(p.domain), c.now)
	p.issuer = limit.NewIssuer(p.ownership, 0)
	l := layout
	l.Domain = p.domain
	p.issuer.SetLimits(l, c.limits, c.now)
	p.cache = limit.NewTokenCache(limit.TokenCacheConfig{})
	c.processes[name] = p
}

func (c *cluster) newest(domain string) seat.List {
	return c.lists[domain][len(c.lists[domain])-1]
}

func (c *cluster) send(deliver func()) {
	c.inFlight = append(c.inFlight, message{deliver})
}

// deliverAll delivers what is under way, and then the replies to it.
func (c *cluster) deliverAll() {
	for range 2 {
		pool := c.inFlight
		c.inFlight = nil
		for _, m := range pool {
			m.deliver()
			if c.duplicates {
				m.deliver()
			}
		}
	}
}

// requestReport lets p ask other for its list version; the report may arrive late.
func (c *cluster) requestReport(p, other *process) {
	report, sent := other.ownership.Report(c.now), c.now
	c.send(func() { p.ownership.HandleReport(report, sent, c.now) })
}

// requestReports lets every process but lost ask the others of its domain.
func (c *cluster) requestReports(names []string, lost string) {
	for _, x := range names {
		for _, y := range names {
			if x[0] == y[0] && x != y && x != lost {
				c.requestReport(c.processes[x], c.processes[y])
			}
		}
		c.processes[x].ownership.Tick(c.now)
	}
}

func (c *cluster) draw(p, from *process, tokens float64) {
	demands := []limit.Demand{{Account: "laurel", Tokens: tokens}}
	number := p.cache.StartDraw(from.name, demands, c.now)
	c.send(func() {
		leases := from.issuer.Draw(demands, c.now)
		c.send(func() { p.cache.FinishDraw(number, from.incarnation, leases, c.now) })
	})
}

func (c *cluster) returnLeases(p *process) {
	for _, r := range p.cache.CollectReturns(c.now) {
		c.send(func() {
			if m := c.processes[r.Node]; m.incarnation == r.Incarnation {
				m.issuer.Return(r.Leases, c.now)
			}
		})
	}
}

func (c *cluster) requestReleases(p *process) {
	for i := range layout.SeatsPerDomain {
		key := seat.Key("laurel", p.domain, i)
		for _, r := range p.ownership.ReleaseRequests([]string{key}, c.now) {
			owner, accepted := c.processes[r.Owner], false
			c.send(func() {
				reply, ok := owner.ownership.Release(key, r.Version, c.now)
				if !ok {
					return
				}
				tokens := owner.issuer.ReleaseSeat("laurel", i, c.now)
				c.send(func() {
					if !accepted && p.ownership.HandleRelease(reply, c.now) {
						accepted = true
						p.issuer.AcceptSeat("laurel", i, tokens, c.now)
					}
				})
			})
		}
	}
}

// publishChange publishes a list without the VM, or with it again, at most every two fences as package seat assumes.
func (c *cluster) publishChange(p *process) {
	last := c.newest(p.domain)
	var names []string
	for _, v := range last.VMs {
		if v != p.name {
			names = append(names, v)
		}
	}
	if len(names) == len(last.VMs) {
		names = append(names, p.name)
	}
	if len(names) >= 2 {
		c.lists[p.domain] = append(c.lists[p.domain], seat.NewList(last.Version+1, names))
	}
}

// Guards against any window in which the fleet admits more than burst + rate x time: through lost, late, repeated
// or reordered messages, pauses, restarts, seats that move, or limits and lists seen at different times.
func TestAdmittedCallsStayWithinRateAndBurst(t *testing.T) {
	admittedInAll := 0
	rapid.Check(t, func(t *rapid.T) {
		most := limit.Limit{
			RatePerSecond: float64(rapid.IntRange(5, 200).Draw(t, "rate")),
			Burst:         float64(rapid.IntRange(2, 40).Draw(t, "burst")),
		}
		changing := rapid.Bool().Draw(t, "limitsChange")
		c := &cluster{now: 100000, lists: map[string][]seat.List{}, processes: map[string]*process{}}
		c.limits = map[string]limit.Limit{"laurel": most}
		names := []string{"a1", "a2", "a3", "b1", "b2", "b3"}
		c.lists["a"] = []seat.List{seat.NewList(1, names[:3])}
		c.lists["b"] = []seat.List{seat.NewList(1, names[3:])}
		for _, name := range names {
			c.start(name)
		}
		for range 4 {
			c.requestReports(names, "")
			c.deliverAll()
			c.now += 1000
		}
		reference := referenceBucket{limit: most, tokens: most.Burst, filledAt: c.now}
		nextChange, admitted := c.now, 0
		anyName := rapid.SampledFrom(names)
		for range rapid.IntRange(100, 300).Draw(t, "steps") {
			p, other := c.processes[anyName.Draw(t, "node")], c.processes[anyName.Draw(t, "other")]
			switch action := rapid.IntRange(0, 15).Draw(t, "action"); {
			case action == 0 && c.now >= nextChange:
				c.publishChange(p)
				nextChange = c.now + 10000
			case action == 1:
				for _, name := range names[:rapid.IntRange(0, len(names)).Draw(t, "listSeenBy")] {
					c.processes[name].ownership.SetList(c.newest(name[:1]), c.now)
					c.requestReleases(c.processes[name])
				}
			case action == 2 && rapid.IntRange(0, 4).Draw(t, "restart") == 0:
				c.start(p.name)
			case action == 3:
				p.ownership.HandlePause(c.now)
			case action == 4 && changing:
				scale := rapid.Float64Range(0.1, 1).Draw(t, "scale")
				l := layout
				l.Domain = p.domain
				c.limits = map[string]limit.Limit{"laurel": {RatePerSecond: most.RatePerSecond * scale, Burst: most.Burst * scale}}
				p.issuer.SetLimits(l, c.limits, c.now)
			case action == 5:
				c.requestReleases(p)
			case action == 6:
				c.returnLeases(p)
			case action <= 8:
				c.draw(p, other, rapid.Float64Range(0.1, 30).Draw(t, "tokens"))
			case action <= 10 && len(c.inFlight) > 0:
				i := rapid.IntRange(0, len(c.inFlight)-1).Draw(t, "message")
				c.inFlight[i].deliver()
				if rapid.Bool().Draw(t, "once") {
					c.inFlight = append(c.inFlight[:i:i], c.inFlight[i+1:]...)
				}
			case action == 11:
				c.deliverAll()
			case action <= 13:
				c.now += clock.Millis(rapid.SampledFrom([]int{1, 20, 150, 1000, 2000}).Draw(t, "ms"))
				c.duplicates = rapid.Bool().Draw(t, "repeats")
				c.requestReports(names, anyName.Draw(t, "lost"))
				if rapid.IntRange(0, 3).Draw(t, "prompt") > 0 {
					c.deliverAll()
				}
			default:
				for _, name := range names[:rapid.IntRange(0, len(names)).Draw(t, "drawNow")] {
					c.draw(p, c.processes[name], 30)
				}
				c.deliverAll()
				for p.cache.Take("laurel", c.now) {
					reference.fill(c.now)
					reference.tokens--
					admitted++
					if reference.tokens < -1e-6 {
						t.Fatalf("%d calls admitted; the last one exceeds %+v by %f", admitted, most, -reference.tokens)
					}
				}
			}
		}
		admittedInAll += admitted
	})
	t.Logf("admitted=%d", admittedInAll)
	assert.Assert(t, admittedInAll > 0)
}

// Guards against a limit change, a restart or a late return that creates tokens, and a lost lease that never ends.
func TestIssuerConservesTokens(t *testing.T) {
	owner := fixedOwnership{"a1", seat.NewList(1, []string{"a1"})}
	one := limit.Layout{Domain: "a", Domains: 1, SeatsPerDomain: 1}
	limits := func(rate, burst float64) map[string]limit.Limit {
		return map[string]limit.Limit{"laurel": {RatePerSecond: rate, Burst: burst}}
	}
	all := []limit.Demand{{Account: "laurel", Tokens: 1000}}
	sum := func(leases []limit.Lease) string {
		total := 0.0
		for _, l := range leases {
			total += l.Tokens
		}
		return fmt.Sprintf("%.3f", total)
	}
	m := limit.NewIssuer(owner, 2000)
	m.SetLimits(one, limits(10, 5), 10000)
	assert.Equal(t, sum(m.Draw(all, 10000)), "0.000", "a new minter starts empty")
	leases := m.Draw(all, 11000)
	assert.Equal(t, sum(leases), "5.000", "the burst is the cap")
	assert.Equal(t, sum(m.Draw(all, 12000)), "0.000", "outstanding leases count against the cap")
	leases[0].Tokens = 2
	m.Return(leases, 12000)
	m.Return(leases, 12000)
	assert.Equal(t, sum(m.Draw(all, 12000)), "2.000", "a repeated return counts once")
	m.SetLimits(one, limits(10, 50), 12000)
	assert.Equal(t, sum(m.Draw(all, 12000)), "0.000", "a higher burst adds no tokens")
	m.SetLimits(one, limits(10, 1), 12100)
	assert.Equal(t, sum(m.Draw(all, 13000)), "0.000", "a lower burst counts outstanding leases")
	m.SetLimits(one, limits(10, 5), 14100)
	assert.Equal(t, sum(m.Draw(all, 14100)), "1.000", "lost leases end")
	m.SetLimits(one, nil, 14200)
	assert.Equal(t, sum(m.Draw(all, 20000)), "0.000", "a removed account mints nothing")
}

// switchedOwnership is the ownership of one seat that the test switches on and off.
type switchedOwnership struct {
	since clock.Millis
	owned bool
}

func (h *switchedOwnership) OwnedSince(string, clock.Millis) (clock.Millis, bool) {
	return h.since, h.owned
}

// Guards against a moved seat that counts its tokens at both owners, or mints while the earlier owner's leases last.
func TestMovedSeatTransfersItsTokensOnce(t *testing.T) {
	one := limit.Layout{Domain: "a", Domains: 1, SeatsPerDomain: 1}
	limits := map[string]limit.Limit{"laurel": {RatePerSecond: 10, Burst: 8}}
	all := []limit.Demand{{Account: "laurel", Tokens: 1000}}
	oldSeat, newSeat := &switchedOwnership{owned: true}, &switchedOwnership{}
	earlier, later := limit.NewIssuer(oldSeat, 2000), limit.NewIssuer(newSeat, 2000)
	earlier.SetLimits(one, limits, 10000)
	later.SetLimits(one, limits, 10000)
	out := earlier.Draw([]limit.Demand{{Account: "laurel", Tokens: 5}}, 20000)
	oldSeat.owned = false
	tokens := earlier.ReleaseSeat("laurel", 0, 20000)
	assert.Equal(t, tokens, 3.0)
	assert.Equal(t, earlier.ReleaseSeat("laurel", 0, 20000), 0.0, "a repeated release carries nothing")
	earlier.Return(out, 20000)
	assert.Equal(t, len(earlier.Draw(all, 20000)), 0)
	newSeat.since, newSeat.owned = 20000, true
	later.AcceptSeat("laurel", 0, tokens, 20000)
	got := later.Draw(all, 21999)
	assert.Equal(t, len(got), 1)
	assert.Equal(t, got[0].Tokens, 3.0, "nothing accrues while the earlier owner's leases last")
	later.Return(got, 22500)
	assert.Equal(t, later.Draw(all, 23000)[0].Tokens, 8.0, "accrual starts when they have ended")
	newSeat.since = 23500
	assert.Equal(t, len(later.Draw(all, 25499)), 0, "an interruption starts the seat anew")
	oldSeat.since, oldSeat.owned = 24000, true
	assert.Equal(t, len(earlier.Draw(all, 26000)), 0, "a seat that comes back starts empty")
}
