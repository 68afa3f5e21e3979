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

// message is a delivery that the test may drop, delay, repeat or reorder.
type message struct {
	deliver func()
}

// cluster consists of two domains of three VMs each; the test controls its time and messages.
type cluster struct {
	now             clock.Millis
	lists           map[string][]seat.List
	processes       map[string]*process
	inFlight        []message
	lastIncarnation uint64
	duplicates      bool
	limits          map[string]limit.Limit
}

var layout = limit.Layout{Domains: 2, SeatsPerDomain: 4}

func (c *cluster) start(name string) {
	c.lastIncarnation++
	p := &process{name: name, domain: name[:1], incarnation: c.lastIncarnation}
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

// deliverAll delivers all messages in flight, and then the replies to them.
func (c *cluster) deliverAll() {
	for range 2 {
		messages := c.inFlight
		c.inFlight = nil
		for _, m := range messages {
			m.deliver()
			if c.duplicates {
				m.deliver()
			}
		}
	}
}

// requestReport lets from ask other for its report, which may arrive late.
func (c *cluster) requestReport(from, other *process) {
	report, sentAt := other.ownership.Report(c.now), c.now
	c.send(func() { from.ownership.HandleReport(report, sentAt, c.now) })
}

// requestReports lets every process except silent ask the others of its domain.
func (c *cluster) requestReports(names []string, silent string) {
	for _, asking := range names {
		for _, asked := range names {
			if asking[0] == asked[0] && asking != asked && asking != silent {
				c.requestReport(c.processes[asking], c.processes[asked])
			}
		}
		c.processes[asking].ownership.Tick(c.now)
	}
}

func (c *cluster) draw(to, from *process, tokens float64) {
	demands := []limit.Demand{{Account: "laurel", Tokens: tokens}}
	drawID := to.cache.StartDraw(from.name, demands, c.now)
	c.send(func() {
		leases := from.issuer.Draw(demands, c.now)
		c.send(func() { to.cache.FinishDraw(drawID, from.incarnation, leases, c.now) })
	})
}

func (c *cluster) returnLeases(p *process) {
	for _, batch := range p.cache.CollectReturns(c.now) {
		c.send(func() {
			if issuerNode := c.processes[batch.Node]; issuerNode.incarnation == batch.Incarnation {
				issuerNode.issuer.Return(batch.Leases, c.now)
			}
		})
	}
}

func (c *cluster) requestReleases(p *process) {
	for i := range layout.SeatsPerDomain {
		key := seat.Key("laurel", p.domain, i)
		for _, request := range p.ownership.ReleaseRequests([]string{key}, c.now) {
			owner, accepted := c.processes[request.Owner], false
			c.send(func() {
				reply, ok := owner.ownership.Release(key, request.Version, c.now)
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

// publishChange publishes a list without the VM, or with it again. Package seat assumes at most one such change in two
// fence times.
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

// Guards against a window in which the fleet admits more than burst + rate x time. Messages are lost, delayed, repeated
// and reordered; nodes pause and restart; seats move; nodes see changed limits and lists at different times.
func TestAdmittedCallsStayWithinRateAndBurst(t *testing.T) {
	totalAdmitted := 0
	rapid.Check(t, func(t *rapid.T) {
		maxLimit := limit.Limit{
			RatePerSecond: float64(rapid.IntRange(5, 200).Draw(t, "rate")),
			Burst:         float64(rapid.IntRange(2, 40).Draw(t, "burst")),
		}
		limitsChange := rapid.Bool().Draw(t, "limitsChange")
		c := &cluster{now: 100000, lists: map[string][]seat.List{}, processes: map[string]*process{}}
		c.limits = map[string]limit.Limit{"laurel": maxLimit}
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
		reference := referenceBucket{limit: maxLimit, tokens: maxLimit.Burst, filledAt: c.now}
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
			case action == 4 && limitsChange:
				scale := rapid.Float64Range(0.1, 1).Draw(t, "scale")
				l := layout
				l.Domain = p.domain
				c.limits = map[string]limit.Limit{"laurel": {RatePerSecond: maxLimit.RatePerSecond * scale, Burst: maxLimit.Burst * scale}}
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
						t.Fatalf("%d calls admitted; the last one exceeds %+v by %f", admitted, maxLimit, -reference.tokens)
					}
				}
			}
		}
		totalAdmitted += admitted
	})
	t.Logf("admitted=%d", totalAdmitted)
	assert.Assert(t, totalAdmitted > 0)
}

// Guards against tokens that are created by a changed limit, a restart or a late return, and against lost leases that
// never expire.
func TestIssuerConservesTokens(t *testing.T) {
	owner := fixedOwnership{"a1", seat.NewList(1, []string{"a1"})}
	oneSeat := limit.Layout{Domain: "a", Domains: 1, SeatsPerDomain: 1}
	limits := func(rate, burst float64) map[string]limit.Limit {
		return map[string]limit.Limit{"laurel": {RatePerSecond: rate, Burst: burst}}
	}
	drawAll := []limit.Demand{{Account: "laurel", Tokens: 1000}}
	sum := func(leases []limit.Lease) string {
		total := 0.0
		for _, l := range leases {
			total += l.Tokens
		}
		return fmt.Sprintf("%.3f", total)
	}
	iss := limit.NewIssuer(owner, 2000)
	iss.SetLimits(oneSeat, limits(10, 5), 10000)
	assert.Equal(t, sum(iss.Draw(drawAll, 10000)), "0.000", "a new issuer starts empty")
	leases := iss.Draw(drawAll, 11000)
	assert.Equal(t, sum(leases), "5.000", "the burst is the cap")
	assert.Equal(t, sum(iss.Draw(drawAll, 12000)), "0.000", "outstanding leases count against the cap")
	leases[0].Tokens = 2
	iss.Return(leases, 12000)
	iss.Return(leases, 12000)
	assert.Equal(t, sum(iss.Draw(drawAll, 12000)), "2.000", "a repeated return counts once")
	iss.SetLimits(oneSeat, limits(10, 50), 12000)
	assert.Equal(t, sum(iss.Draw(drawAll, 12000)), "0.000", "a higher burst adds no tokens")
	iss.SetLimits(oneSeat, limits(10, 1), 12100)
	assert.Equal(t, sum(iss.Draw(drawAll, 13000)), "0.000", "a lower burst counts outstanding leases")
	iss.SetLimits(oneSeat, limits(10, 5), 14100)
	assert.Equal(t, sum(iss.Draw(drawAll, 14100)), "1.000", "lost leases expire")
	iss.SetLimits(oneSeat, nil, 14200)
	assert.Equal(t, sum(iss.Draw(drawAll, 20000)), "0.000", "a removed account accrues nothing")
}

// switchedOwnership is the ownership of one seat, which the test switches on and off.
type switchedOwnership struct {
	since clock.Millis
	owned bool
}

func (h *switchedOwnership) OwnedSince(string, clock.Millis) (clock.Millis, bool) {
	return h.since, h.owned
}

// Guards against a moved seat whose tokens count at both owners, or which accrues tokens while leases of the previous
// owner are still valid.
func TestMovedSeatTransfersItsTokensOnce(t *testing.T) {
	oneSeat := limit.Layout{Domain: "a", Domains: 1, SeatsPerDomain: 1}
	limits := map[string]limit.Limit{"laurel": {RatePerSecond: 10, Burst: 8}}
	drawAll := []limit.Demand{{Account: "laurel", Tokens: 1000}}
	oldSeat, newSeat := &switchedOwnership{owned: true}, &switchedOwnership{}
	oldIssuer, newIssuer := limit.NewIssuer(oldSeat, 2000), limit.NewIssuer(newSeat, 2000)
	oldIssuer.SetLimits(oneSeat, limits, 10000)
	newIssuer.SetLimits(oneSeat, limits, 10000)
	outstanding := oldIssuer.Draw([]limit.Demand{{Account: "laurel", Tokens: 5}}, 20000)
	oldSeat.owned = false
	tokens := oldIssuer.ReleaseSeat("laurel", 0, 20000)
	assert.Equal(t, tokens, 3.0)
	assert.Equal(t, oldIssuer.ReleaseSeat("laurel", 0, 20000), 0.0, "a repeated release transfers nothing")
	oldIssuer.Return(outstanding, 20000)
	assert.Equal(t, len(oldIssuer.Draw(drawAll, 20000)), 0)
	newSeat.since, newSeat.owned = 20000, true
	newIssuer.AcceptSeat("laurel", 0, tokens, 20000)
	leases := newIssuer.Draw(drawAll, 21999)
	assert.Equal(t, len(leases), 1)
	assert.Equal(t, leases[0].Tokens, 3.0, "nothing accrues while leases of the previous owner are valid")
	newIssuer.Return(leases, 22500)
	assert.Equal(t, newIssuer.Draw(drawAll, 23000)[0].Tokens, 8.0, "accrual starts when they have expired")
	newSeat.since = 23500
	assert.Equal(t, len(newIssuer.Draw(drawAll, 25499)), 0, "an interruption starts the seat anew")
	oldSeat.since, oldSeat.owned = 24000, true
	assert.Equal(t, len(oldIssuer.Draw(drawAll, 26000)), 0, "a seat that comes back starts empty")
}
