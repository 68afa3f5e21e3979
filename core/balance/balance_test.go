package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

func newBalancer() *Balancer {
	return New(DefaultConfig("x"), rand.New(rand.NewPCG(3, 3)))
}

func candidates(domains ...string) (cs []Candidate) {
	for i, domain := range domains {
		c := Candidate{Node: string(rune('a' + i)), FailureDomain: domain, Slots: 10}
		if domain != "x" {
			c.NetworkDelayMs = 1
		}
		cs = append(cs, c)
	}
	return cs
}

// countChoices returns how often each node is chosen in 1,000 choices, without calls to the chosen nodes.
func countChoices(b *Balancer, cs []Candidate, exclude map[string]bool, now clock.Millis) map[string]int {
	chosen := make(map[string]int)
	for range 1000 {
		if choice, ok := b.Choose(cs, exclude, now); ok {
			chosen[choice.Node]++
		}
	}
	return chosen
}

func finishCall(b *Balancer, node string, r CallResult, now clock.Millis) {
	b.Started(node, now)
	b.Finished(node, r, now)
}

// Calls must stay in the local failure domain while it has capacity, and must not stay there when its wait is longer.
func TestOwnDomainIsPreferredUntilItsWaitIsLonger(t *testing.T) {
	b := newBalancer()
	cs := candidates("x", "y")
	assert.DeepEqual(t, countChoices(b, cs, nil, 0), map[string]int{"a": 1000})
	finishCall(b, "a", CallResult{LatencyMs: 50, Load: &call.Load{Running: 10, Waiting: 5, Limit: 10, WaitMs: 25}}, 0)
	assert.DeepEqual(t, countChoices(b, cs, nil, 0), map[string]int{"b": 1000})
	assert.DeepEqual(t, countChoices(b, cs, map[string]bool{"b": true}, 0), map[string]int{"a": 1000})
	choice, _ := b.Choose(cs, nil, 5000)
	assert.Equal(t, choice.Node, "a")
	assert.Equal(t, choice.LoadAgeMs, clock.Millis(5000))
}

// The choice must take into account the calls that this node has in flight.
func TestChoiceCountsOwnCallsInFlight(t *testing.T) {
	b := newBalancer()
	cs := candidates("x", "x")
	for range 30 {
		choice, _ := b.Choose(cs, nil, 0)
		b.Started(choice.Node, 0)
	}
	assert.Equal(t, b.nodes["a"].inFlight, 15)
	assert.Equal(t, b.nodes["b"].inFlight, 15)
}

// A leaving node must not get new calls, but must be chosen again later, since it may have been restarted.
func TestLeavingNodeIsNotChosen(t *testing.T) {
	b := newBalancer()
	cs := candidates("x", "x")
	finishCall(b, "a", CallResult{Refused: true, Load: &call.Load{Leaving: true, Limit: 10}}, 100)
	assert.DeepEqual(t, countChoices(b, cs, nil, 5000), map[string]int{"b": 1000})
	assert.Assert(t, countChoices(b, cs, nil, 5100)["a"] > 0)
	_, ok := b.Choose(cs[:1], nil, 200)
	assert.Assert(t, !ok)
}

// A failing node must not keep its share of the calls, get it back all at once or stay ejected forever.
func TestFailingNodeIsEjectedAndGetsItsShareBackGradually(t *testing.T) {
	b := newBalancer()
	cs := candidates("x", "x", "x")
	fail := func(now clock.Millis) clock.Millis {
		for range 5 {
			finishCall(b, "a", CallResult{Failed: true}, now)
		}
		assert.Equal(t, countChoices(b, cs, nil, now)["a"], 0)
		return b.nodes["a"].ejectedUntil
	}
	first := fail(0)
	assert.Assert(t, first >= 500 && first <= 625)
	for _, node := range []string{"b", "c"} {
		for range 3 {
			b.Started(node, first)
		}
	}
	assert.Assert(t, b.rampShare(b.nodes["a"], first+200) < 0.2)
	assert.Equal(t, countChoices(b, cs, nil, first+200)["a"], 0)
	assert.Assert(t, countChoices(b, cs, nil, first+1000)["a"] > 500)
	finishCall(b, "a", CallResult{Failed: true}, first+1000)
	second := b.nodes["a"].ejectedUntil - (first + 1000)
	assert.Assert(t, second >= 1000 && second <= 1250, "second ejection lasts %d ms", second)
	finishCall(b, "a", CallResult{LatencyMs: 1}, first+10_000)
	assert.Equal(t, b.nodes["a"].ejections, 0)
	finishCall(b, "a", CallResult{Refused: true}, first+10_000)
	assert.Equal(t, b.nodes["a"].failures, 0)
}

// With random failures and exclusions, no more nodes than the limit may be ejected, and a node must always be chosen unless
// all are excluded.
func TestEjectionIsCapped(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.SliceOfN(rapid.SampledFrom([]string{"x", "y"}), 1, 8).Draw(t, "domains")
		cs := candidates(domains...)
		b := newBalancer()
		exclude := make(map[string]bool)
		for _, c := range cs {
			for range rapid.IntRange(0, 6).Draw(t, "failures") {
				finishCall(b, c.Node, CallResult{Failed: true}, clock.Millis(rapid.IntRange(0, 400).Draw(t, "at")))
			}
			exclude[c.Node] = rapid.Bool().Draw(t, "exclude")
		}
		s := selection{balancer: b, candidates: cs, now: 400, maxEjected: len(cs) / 2}
		kept := 0
		for i, c := range cs {
			if n := b.nodes[c.Node]; n == nil || !s.isEjected(i, n) {
				kept++
			}
		}
		assert.Assert(t, kept >= (len(cs)+1)/2, "%d of %d candidates are not ejected", kept, len(cs))
		choice, ok := b.Choose(cs, exclude, 400)
		all := true
		for _, c := range cs {
			all = all && exclude[c.Node]
		}
		assert.Equal(t, ok, !all)
		assert.Assert(t, !ok || !exclude[choice.Node])
	})
}

// Loads and failures must have no effect while the policy is off.
func TestRoundRobinIgnoresLoadsAndFailures(t *testing.T) {
	b := New(Config{RoundRobin: true, FailureDomain: "x"}, rand.New(rand.NewPCG(1, 1)))
	cs := candidates("x", "y", "y", "y")
	finishCall(b, "b", CallResult{Failed: true, Load: &call.Load{Waiting: 99}}, 0)
	exclude := map[string]bool{"a": true}
	assert.DeepEqual(t, countChoices(b, cs[:3], exclude, 0), map[string]int{"b": 500, "c": 500})
}

// Choose runs for every call and must not allocate memory.
func TestChooseDoesNotAllocate(t *testing.T) {
	b := newBalancer()
	cs := candidates("x", "x", "y", "y")
	b.Started("a", 0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.Choose(cs, nil, 0) }), 0.0)
}

func BenchmarkChoose(bm *testing.B) {
	for _, n := range []int{4, 16, 64} {
		bm.Run(fmt.Sprint(n), func(bm *testing.B) {
			b := newBalancer()
			cs := make([]Candidate, n)
			for i := range cs {
				cs[i] = Candidate{Node: fmt.Sprintf("node-%03d", i), FailureDomain: string(rune('x' + i%3)), Slots: 90}
				finishCall(b, cs[i].Node, CallResult{LatencyMs: 5, Load: &call.Load{Limit: 90, Running: i}}, 0)
			}
			for bm.Loop() {
				b.Choose(cs, nil, 10)
			}
		})
	}
}
