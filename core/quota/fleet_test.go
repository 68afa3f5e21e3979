package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/quota"
)

const (
	domains      = 5
	nodesPer     = 4
	modelStepMs  = 10
	modelStartMs = clock.Millis(100_000)
	patienceMs   = 600
	windowMs     = 5000
	allowedOver  = 1.25
	allowedSlack = 20
	// lagMs is the longest time until a node notices that another one was lost or is back.
	lagMs = 800
)

// modelNode is a node of a modelled fleet. It believes others to be lost or there with a delay.
type modelNode struct {
	address string
	domain  int
	holder  *quota.Holder
	movedAt clock.Millis
	down    bool
	cut     int
	// lost are the nodes that it believes it can't reach, pending the times at which it notices a change.
	lost    map[string]bool
	pending map[string]clock.Millis
}

// modelFleet grants the tokens of one account without a network.
type modelFleet struct {
	nodes     []*modelNode
	byAddress map[string]*modelNode
	ranking   *quota.Ranking
	random    *rand.Rand
	rate      quota.Rate
	granted   []clock.Millis
	// single is one bucket for the whole fleet that gets the same requests, if it is set.
	single           *quota.Owned
	admittedBySingle int
}

func newModelFleet(seed uint64, rate quota.Rate) *modelFleet {
	f := &modelFleet{byAddress: make(map[string]*modelNode), random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
	var addresses []string
	for i := range domains * nodesPer {
		n := &modelNode{
			address: fmt.Sprintf("10.0.0.%d:1", i), domain: i % domains, holder: quota.NewHolder(),
			lost: make(map[string]bool), pending: make(map[string]clock.Millis),
		}
		f.nodes = append(f.nodes, n)
		f.byAddress[n.address] = n
		addresses = append(addresses, n.address)
	}
	f.ranking = quota.NewRanking(addresses)
	return f
}

func (f *modelFleet) connected(a, b *modelNode) bool {
	return a == b || !a.down && !b.down && a.cut == b.cut
}

// notice lets the nodes learn, each at its time, who can be reached.
func (f *modelFleet) notice(now clock.Millis) {
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if f.connected(n, other) != n.lost[other.address] {
				delete(n.pending, other.address)
				continue
			}
			at, waiting := n.pending[other.address]
			if !waiting {
				n.pending[other.address] = now + clock.Millis(f.random.IntN(lagMs))
				continue
			}
			if now >= at {
				n.lost[other.address] = !n.lost[other.address]
				n.movedAt = now
				delete(n.pending, other.address)
			}
		}
	}
}

func (f *modelFleet) owner(n *modelNode) *modelNode {
	return f.byAddress[f.ranking.Owner("account", func(address string) bool { return !n.lost[address] })]
}

func (f *modelFleet) take(n *modelNode, name string, reached int, urgent bool, now clock.Millis) bool {
	p := quota.Position{Reached: reached, Total: len(f.nodes), MovedAt: n.movedAt}
	granted, _ := n.holder.Take(name, quota.Draw{Need: 1, Urgent: urgent}, f.rate, p, now)
	if granted > 0 {
		f.granted = append(f.granted, now)
	}
	return granted > 0
}

// ask sends a draw to the owner that the node knows, which passes it on once; decided is false if nobody answered.
func (f *modelFleet) ask(n *modelNode, urgent bool, now clock.Millis) (granted, decided bool) {
	owner := f.owner(n)
	for range 2 {
		if !f.connected(n, owner) {
			return false, false
		}
		next := f.owner(owner)
		if next == owner {
			return f.take(owner, "fleet", len(f.nodes)-len(lostOf(owner)), urgent, now), true
		}
		n, owner = owner, next
	}
	return false, false
}

func lostOf(n *modelNode) []string {
	var lost []string
	for address, is := range n.lost {
		if is {
			lost = append(lost, address)
		}
	}
	return lost
}

// modelRequest waits until an owner has decided about it.
type modelRequest struct {
	node   *modelNode
	urgent bool
	until  clock.Millis
}

// play sends requests at the rate for a time and returns the numbers of requests and of those admitted.
func (f *modelFleet) play(
	perSecond float64, spread func() *modelNode, length clock.Millis, disturb func(now clock.Millis),
) (asked, admitted int) {
	var waiting []modelRequest
	for now := modelStartMs; now < modelStartMs+length; now += modelStepMs {
		disturb(now)
		f.notice(now)
		for n := perSecond * modelStepMs / 1000; n > 0; n-- {
			if f.random.Float64() < n {
				asked++
				r := modelRequest{node: spread(), urgent: f.random.IntN(3) == 0, until: now + patienceMs}
				waiting = append(waiting, r)
				f.askSingle(r.urgent, now)
			}
		}
		rest := waiting[:0]
		for _, r := range waiting {
			if r.node.down {
				continue
			}
			granted, decided := f.ask(r.node, r.urgent, now)
			if !decided && now < r.until {
				rest = append(rest, r)
				continue
			}
			if !decided {
				granted = f.take(r.node, "alone", 1, r.urgent, now)
			}
			if granted {
				admitted++
			}
		}
		waiting = rest
	}
	return asked, admitted
}

// Load pattern: an account sends three times its rate through all nodes while domains are cut off, nodes restart and its
// quota is lowered. Guards against an account that gets more than the users allow in some window.
func TestFleetStaysWithinTheQuota(t *testing.T) {
	for seed := range uint64(20) {
		for _, rate := range []quota.Rate{{PerSecond: 3, Burst: 4}, {PerSecond: 60, Burst: 60}, {PerSecond: 400, Burst: 100}} {
			f := newModelFleet(seed, rate)
			lowered, next := clock.Never, clock.Millis(0)
			f.play(3*rate.PerSecond, f.anyNode, 40_000, func(now clock.Millis) {
				if now < next {
					return
				}
				next = now + clock.Millis(500+f.random.IntN(3000))
				if f.disturb(now) && lowered == clock.Never {
					f.rate, lowered = f.rate.Part(0.5), now
				}
			})
			f.check(t, seed, rate, lowered)
		}
	}
}

func (f *modelFleet) askSingle(urgent bool, now clock.Millis) {
	if f.single == nil {
		return
	}
	n, _ := f.single.Take(quota.Draw{Need: 1, Urgent: urgent}, f.rate, 0, now)
	f.admittedBySingle += n
}

func (f *modelFleet) anyNode() *modelNode {
	return f.nodes[f.random.IntN(len(f.nodes))]
}

// disturb changes what is cut off or restarts nodes; it reports whether the quota may be lowered now.
func (f *modelFleet) disturb(now clock.Millis) bool {
	switch f.random.IntN(5) {
	case 0:
		domain := f.random.IntN(domains)
		for _, n := range f.nodes {
			if n.domain == domain {
				n.cut = domain + 1
			}
		}
	case 1:
		f.anyNode().cut = 100 + f.random.IntN(1000)
	case 2:
		n := f.anyNode()
		n.down = true
	case 3:
		for _, n := range f.nodes {
			n.cut = 0
			if n.down {
				n.down, n.holder, n.movedAt = false, quota.NewHolder(), now
			}
		}
	default:
		return now > 115_000
	}
	return false
}

// check compares each window with the bound. The lower quota binds one window after it came into force.
func (f *modelFleet) check(t *testing.T, seed uint64, rate quota.Rate, lowered clock.Millis) {
	t.Helper()
	first := 0
	for i, at := range f.granted {
		for at-f.granted[first] >= windowMs {
			first++
		}
		bound := rate
		if lowered != clock.Never && f.granted[first] > lowered+windowMs {
			bound = rate.Part(0.5)
		}
		allowed := (bound.PerSecond*windowMs/1000+bound.Burst)*allowedOver + allowedSlack
		assert.Assert(t, float64(i-first+1) <= allowed, "seed %d, rate %v: %d in the window that ends at %d, %v allowed",
			seed, rate, i-first+1, at, allowed)
	}
}

// Load pattern: accounts send somewhat less than their rate, through all nodes or through two of them. Guards against
// refusals below the rate because the rate is divided: one bucket for the whole fleet must not admit noticeably more.
func TestFleetAdmitsWhatOneBucketWould(t *testing.T) {
	for _, rate := range []quota.Rate{
		{PerSecond: 1, Burst: 1}, {PerSecond: 2, Burst: 1.2}, {PerSecond: 4, Burst: 5}, {PerSecond: 100, Burst: 100},
	} {
		for _, entries := range []int{2, domains * nodesPer} {
			f := newModelFleet(7, rate)
			f.single = quota.NewOwned(rate, 0, modelStartMs)
			spread := func() *modelNode { return f.nodes[f.random.IntN(entries)] }
			asked, admitted := f.play(0.8*rate.PerSecond, spread, 300_000, func(clock.Millis) {})
			lost := f.admittedBySingle - admitted
			assert.Assert(t, float64(lost) <= 0.01*float64(asked), "rate %v, %d entries: %d of %d admitted, %d by one bucket",
				rate, entries, admitted, asked, f.admittedBySingle)
		}
	}
}
