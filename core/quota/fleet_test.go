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
	domains          = 5
	nodesPerDomain   = 4
	modelStepMs      = 10
	modelStartMs     = clock.Millis(100_000)
	requestTimeoutMs = 600
	windowMs         = 5000
	overshootFactor  = 1.25
	overshootTokens  = 20
	// maxNoticeDelayMs is the longest time until a node notices that another one has become unreachable or reachable again.
	maxNoticeDelayMs = 800
)

// modelNode is a node of a simulated fleet. It notices with a delay which other nodes it can reach.
type modelNode struct {
	address   string
	domain    int
	buckets   *quota.OwnedBuckets
	movedAt   clock.Millis
	down      bool
	partition int
	// unreachable holds the nodes that it believes to be unreachable, and pending the times at which it notices a change.
	unreachable map[string]bool
	pending     map[string]clock.Millis
}

// modelFleet is a simulated fleet without a network that grants the tokens of one account.
type modelFleet struct {
	nodes     []*modelNode
	byAddress map[string]*modelNode
	ranking   *quota.Ranking
	random    *rand.Rand
	rate      quota.Rate
	granted   []clock.Millis
	// single, if set, is one bucket for the whole fleet that gets the same requests.
	single           *quota.OwnedBucket
	admittedBySingle int
}

func newModelFleet(seed uint64, rate quota.Rate) *modelFleet {
	f := &modelFleet{byAddress: make(map[string]*modelNode), random: rand.New(rand.NewPCG(seed, 0)), rate: rate}
	var addresses []string
	for i := range domains * nodesPerDomain {
		n := &modelNode{
			address: fmt.Sprintf("10.0.0.%d:1", i), domain: i % domains, buckets: quota.NewOwnedBuckets(),
			unreachable: make(map[string]bool), pending: make(map[string]clock.Millis),
		}
		f.nodes = append(f.nodes, n)
		f.byAddress[n.address] = n
		addresses = append(addresses, n.address)
	}
	f.ranking = quota.NewRanking(addresses)
	return f
}

func (f *modelFleet) connected(a, b *modelNode) bool {
	return a == b || !a.down && !b.down && a.partition == b.partition
}

// updateReachability lets each node notice, after its own delay, which nodes it can reach.
func (f *modelFleet) updateReachability(now clock.Millis) {
	for _, n := range f.nodes {
		for _, other := range f.nodes {
			if f.connected(n, other) != n.unreachable[other.address] {
				delete(n.pending, other.address)
				continue
			}
			noticedAt, isPending := n.pending[other.address]
			if !isPending {
				n.pending[other.address] = now + clock.Millis(f.random.IntN(maxNoticeDelayMs))
				continue
			}
			if now >= noticedAt {
				n.unreachable[other.address] = !n.unreachable[other.address]
				n.movedAt = now
				delete(n.pending, other.address)
			}
		}
	}
}

func (f *modelFleet) owner(n *modelNode) *modelNode {
	return f.byAddress[f.ranking.Owner("account", func(address string) bool { return !n.unreachable[address] })]
}

func (f *modelFleet) take(n *modelNode, name string, reachableNodes int, urgent bool, now clock.Millis) bool {
	reach := quota.Reachability{ReachableNodes: reachableNodes, TotalNodes: len(f.nodes), OwnershipMovedAt: n.movedAt}
	granted, _ := n.buckets.Take(name, quota.Draw{Need: 1, Urgent: urgent}, f.rate, reach, now)
	if granted > 0 {
		f.granted = append(f.granted, now)
	}
	return granted > 0
}

// draw sends a draw to the owner that the node knows, which forwards it at most once. decided is false if no owner
// answered.
func (f *modelFleet) draw(n *modelNode, urgent bool, now clock.Millis) (granted, decided bool) {
	owner := f.owner(n)
	for range 2 {
		if !f.connected(n, owner) {
			return false, false
		}
		next := f.owner(owner)
		if next == owner {
			return f.take(owner, "fleet", len(f.nodes)-len(unreachableFrom(owner)), urgent, now), true
		}
		n, owner = owner, next
	}
	return false, false
}

func unreachableFrom(n *modelNode) []string {
	var addresses []string
	for address, unreachable := range n.unreachable {
		if unreachable {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// modelRequest is a request that waits for the decision of an owner.
type modelRequest struct {
	node      *modelNode
	urgent    bool
	expiresAt clock.Millis
}

// run sends requests at the rate for the duration, and returns how many were offered and how many admitted.
func (f *modelFleet) run(
	perSecond float64, chooseNode func() *modelNode, duration clock.Millis, injectFault func(now clock.Millis),
) (offered, admitted int) {
	var waiting []modelRequest
	for now := modelStartMs; now < modelStartMs+duration; now += modelStepMs {
		injectFault(now)
		f.updateReachability(now)
		for n := perSecond * modelStepMs / 1000; n > 0; n-- {
			if f.random.Float64() < n {
				offered++
				r := modelRequest{node: chooseNode(), urgent: f.random.IntN(3) == 0, expiresAt: now + requestTimeoutMs}
				waiting = append(waiting, r)
				f.takeFromSingle(r.urgent, now)
			}
		}
		stillWaiting := waiting[:0]
		for _, r := range waiting {
			if r.node.down {
				continue
			}
			granted, decided := f.draw(r.node, r.urgent, now)
			if !decided && now < r.expiresAt {
				stillWaiting = append(stillWaiting, r)
				continue
			}
			if !decided {
				granted = f.take(r.node, "alone", 1, r.urgent, now)
			}
			if granted {
				admitted++
			}
		}
		waiting = stillWaiting
	}
	return offered, admitted
}

// Guards against an account that is granted more than the allowed overshoot in some window. The account sends three times
// its rate through all nodes while domains are partitioned, nodes restart and the quota is lowered.
func TestFleetStaysWithinTheQuotaDuringFaults(t *testing.T) {
	for seed := range uint64(20) {
		for _, rate := range []quota.Rate{{PerSecond: 3, Burst: 4}, {PerSecond: 60, Burst: 60}, {PerSecond: 400, Burst: 100}} {
			f := newModelFleet(seed, rate)
			loweredAt, nextFault := clock.Never, clock.Millis(0)
			f.run(3*rate.PerSecond, f.anyNode, 40_000, func(now clock.Millis) {
				if now < nextFault {
					return
				}
				nextFault = now + clock.Millis(500+f.random.IntN(3000))
				if f.injectFault(now) && loweredAt == clock.Never {
					f.rate, loweredAt = f.rate.Scale(0.5), now
				}
			})
			f.checkWindows(t, seed, rate, loweredAt)
		}
	}
}

func (f *modelFleet) takeFromSingle(urgent bool, now clock.Millis) {
	if f.single == nil {
		return
	}
	n, _ := f.single.Take(quota.Draw{Need: 1, Urgent: urgent}, f.rate, 0, now)
	f.admittedBySingle += n
}

func (f *modelFleet) anyNode() *modelNode {
	return f.nodes[f.random.IntN(len(f.nodes))]
}

// injectFault partitions, stops or restarts nodes. It reports whether the quota may be lowered now.
func (f *modelFleet) injectFault(now clock.Millis) bool {
	switch f.random.IntN(5) {
	case 0:
		domain := f.random.IntN(domains)
		for _, n := range f.nodes {
			if n.domain == domain {
				n.partition = domain + 1
			}
		}
	case 1:
		f.anyNode().partition = 100 + f.random.IntN(1000)
	case 2:
		n := f.anyNode()
		n.down = true
	case 3:
		for _, n := range f.nodes {
			n.partition = 0
			if n.down {
				n.down, n.buckets, n.movedAt = false, quota.NewOwnedBuckets(), now
			}
		}
	default:
		return now > 115_000
	}
	return false
}

// checkWindows compares each window with the bound. A lowered quota applies one window after it came into force.
func (f *modelFleet) checkWindows(t *testing.T, seed uint64, rate quota.Rate, loweredAt clock.Millis) {
	t.Helper()
	first := 0
	for i, at := range f.granted {
		for at-f.granted[first] >= windowMs {
			first++
		}
		bound := rate
		if loweredAt != clock.Never && f.granted[first] > loweredAt+windowMs {
			bound = rate.Scale(0.5)
		}
		allowed := (bound.PerSecond*windowMs/1000+bound.Burst)*overshootFactor + overshootTokens
		assert.Assert(t, float64(i-first+1) <= allowed, "seed %d, rate %v: %d in the window that ends at %d, %v allowed",
			seed, rate, i-first+1, at, allowed)
	}
}

// Guards against refusals below the rate that only occur because the rate is divided among nodes: a single bucket for the
// whole fleet must not admit noticeably more. Accounts send somewhat less than their rate, through all nodes or two of
// them.
func TestFleetAdmitsAsMuchAsOneBucket(t *testing.T) {
	for _, rate := range []quota.Rate{
		{PerSecond: 1, Burst: 1}, {PerSecond: 2, Burst: 1.2}, {PerSecond: 4, Burst: 5}, {PerSecond: 100, Burst: 100},
	} {
		for _, entryNodes := range []int{2, domains * nodesPerDomain} {
			f := newModelFleet(7, rate)
			f.single = quota.NewOwnedBucket(rate, 0, modelStartMs)
			chooseNode := func() *modelNode { return f.nodes[f.random.IntN(entryNodes)] }
			offered, admitted := f.run(0.8*rate.PerSecond, chooseNode, 300_000, func(clock.Millis) {})
			shortfall := f.admittedBySingle - admitted
			assert.Assert(t, float64(shortfall) <= 0.01*float64(offered), "rate %v, %d entries: %d of %d admitted, %d by one bucket",
				rate, entryNodes, admitted, offered, f.admittedBySingle)
		}
	}
}
