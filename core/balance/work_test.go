package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

func countCostChoices(b *Balancer, costMs float64, cs []Candidate, now clock.Millis) map[string]int {
	chosen := make(map[string]int)
	for range 1000 {
		if choice, ok := b.ChooseForCost(costMs, cs, nil, now); ok {
			chosen[choice.Node]++
		}
	}
	return chosen
}

func reportWork(b *Balancer, name string, l call.Load, now clock.Millis) {
	b.StartedWork(name, 50, now)
	b.Finished(name, CallResult{CostMs: 50, TargetMs: 50 * float64(l.SlownessPercent) / 100, LatencyMs: 50, Load: &l}, now)
}

// Load: two targets with the same number of calls, of which one has the expensive ones or works more slowly. Guards against a
// choice by the number of calls.
func TestChoiceComparesCompletionTimes(t *testing.T) {
	for name, busier := range map[string]call.Load{
		"work":     {Running: 10, Waiting: 5, Limit: 10, WorkMs: 9000, SlownessPercent: 100},
		"slowness": {Running: 10, Waiting: 5, Limit: 10, WorkMs: 900, SlownessPercent: 250},
	} {
		b, cs := newBalancer(), candidates("x", "x")
		reportWork(b, "a", busier, 1000)
		reportWork(b, "b", call.Load{Running: 10, Waiting: 5, Limit: 10, WorkMs: 900, SlownessPercent: 100}, 1000)
		assert.DeepEqual(t, countCostChoices(b, 50, cs, 1000), map[string]int{"b": 1000})
		choice, _ := b.ChooseForCost(50, cs, nil, 1000)
		assert.Assert(t, choice.Work.RunMs > 0 && choice.Work.CostMs == 50 && choice.Work.SlownessPercent > 0, name)
	}
}

// Load: a busy target in the own domain and a faster one with free slots in another. Guards against keeping calls where they wait
// longer than the delay between the domains, and against traffic between domains only because a machine is faster there.
func TestOtherDomainIsChosenIfItSavesMoreThanTheDelay(t *testing.T) {
	for name, c := range map[string]struct {
		local  call.Load
		chosen string
	}{
		"longer wait":          {call.Load{Running: 10, Waiting: 5, Limit: 10, WorkMs: 750, SlownessPercent: 150}, "b"},
		"wait below the delay": {call.Load{Running: 10, Limit: 10, WorkMs: 500, SlownessPercent: 100}, "a"},
		"slower machine":       {call.Load{Running: 1, Limit: 10, WorkMs: 50, SlownessPercent: 250}, "a"},
	} {
		b, cs := newBalancer(), candidates("x", "y")
		cs[1].NetworkDelayMs = 10
		reportWork(b, "a", c.local, 1000)
		reportWork(b, "b", call.Load{Running: 1, Limit: 10, WorkMs: 50, SlownessPercent: 100}, 1000)
		t.Log(name)
		assert.DeepEqual(t, countCostChoices(b, 900, cs, 1000), map[string]int{c.chosen: 1000})
	}
}

// Load: a faster target with few free slots and a slower one with many. Guards against filling the faster targets to their last
// slot, where bursts are refused.
func TestFasterTargetKeepsFreeSlots(t *testing.T) {
	slower := call.Load{Running: 30, Limit: 100, WorkMs: 3000, SlownessPercent: 160}
	for running, chosen := range map[int]string{30: "a", 95: "b"} {
		b, cs := newBalancer(), candidates("x", "x")
		reportWork(b, "a", call.Load{Running: running, Limit: 100, WorkMs: clock.Millis(50 * running), SlownessPercent: 70}, 1000)
		reportWork(b, "b", slower, 1000)
		t.Log(running, chosen)
		assert.DeepEqual(t, countCostChoices(b, 190, cs, 1000), map[string]int{chosen: 1000})
	}
}

// Load: a target that was slow is not used for long. Guards against avoiding it forever.
func TestSlowTargetIsTriedAgain(t *testing.T) {
	b, cs := newBalancer(), candidates("x", "x")
	for now := clock.Millis(1000); now < 2000; now += 100 {
		reportWork(b, "a", call.Load{Running: 10, Waiting: 40, Limit: 10, WorkMs: 90_000, SlownessPercent: 2000}, now)
	}
	reportWork(b, "b", call.Load{Running: 4, Limit: 10, WorkMs: 200, SlownessPercent: 100}, 2000)
	assert.Equal(t, countCostChoices(b, 50, cs, 2000)["a"], 0)
	for range 4 {
		b.StartedWork("b", 50, 60_000)
	}
	assert.Assert(t, countCostChoices(b, 50, cs, 60_000)["a"] > 0)
}

// Load: nodes of two versions, of which one reports no work. Guards against a missing figure that counts as no work.
func TestNodeOfAnEarlierVersionIsComparedByItsCalls(t *testing.T) {
	b, cs := newBalancer(), candidates("x", "x")
	reportWork(b, "a", call.Load{Running: 10, Waiting: 30, Limit: 10}, 1000)
	reportWork(b, "b", call.Load{Running: 10, Waiting: 2, Limit: 10, WorkMs: 600, SlownessPercent: 100}, 1000)
	assert.DeepEqual(t, countCostChoices(b, 50, cs, 1000), map[string]int{"b": 1000})
}

// Load: random results. Guards against choices without a known cost that differ because work is reported.
func TestChoiceWithoutCostIsUnchanged(t *testing.T) {
	const seed = 4
	t.Logf("seed=%d", seed)
	var logs [2]string
	for i := range logs {
		random, b, cs := rand.New(rand.NewPCG(seed, seed)), newBalancer(), candidates("x", "x", "y", "y")
		for now := clock.Millis(0); now < 2000; now++ {
			choice, _ := b.Choose(cs, nil, now)
			logs[i] += fmt.Sprintln(choice)
			load := call.Load{Running: random.IntN(10), Waiting: random.IntN(10), Limit: 10}
			work := clock.Millis(random.IntN(10_000))
			if i == 1 {
				load.WorkMs, load.SlownessPercent = work, 300
			}
			b.Started(choice.Node, now)
			b.Finished(choice.Node, CallResult{LatencyMs: 5, Load: &load}, now)
		}
	}
	assert.Equal(t, logs[0], logs[1])
}

// The choice runs for every call and must not allocate memory.
func TestChooseForCostDoesNotAllocate(t *testing.T) {
	b, cs := newBalancer(), candidates("x", "x", "y", "y")
	reportWork(b, "a", call.Load{Running: 4, Limit: 10, WorkMs: 200, SlownessPercent: 100}, 0)
	assert.Equal(t, testing.AllocsPerRun(100, func() { b.ChooseForCost(50, cs, nil, 0) }), 0.0)
}

func BenchmarkChooseForCost(bm *testing.B) {
	for _, n := range []int{4, 16, 60, 64} {
		bm.Run(fmt.Sprint(n), func(bm *testing.B) {
			b := newBalancer()
			cs := make([]Candidate, n)
			for i := range cs {
				cs[i] = Candidate{Node: fmt.Sprintf("node-%03d", i), FailureDomain: string(rune('x' + i%3)), Slots: 90}
				reportWork(b, cs[i].Node, call.Load{Limit: 90, Running: i, WorkMs: clock.Millis(50 * i), SlownessPercent: 100 + i}, 0)
			}
			for bm.Loop() {
				b.ChooseForCost(50, cs, nil, 10)
			}
		})
	}
}

// Load: previews between choices. Guards against a preview that changes later choices, and against one that decides otherwise.
func TestPreviewChoosesAlikeAndChangesNothing(t *testing.T) {
	var logs [2]string
	for i := range logs {
		b, cs := newBalancer(), candidates("x", "x", "x", "y")
		reportWork(b, "a", call.Load{Running: 10, Waiting: 40, Limit: 10, WorkMs: 90_000, SlownessPercent: 300}, 1000)
		random := rand.New(rand.NewPCG(1, 1))
		for range 500 {
			if i == 1 {
				previewed, ok := b.Preview(50, cs, random, 1000)
				assert.Assert(t, ok && cs[previewed].Node != "a")
				assert.Assert(t, b.Facts(50, cs, previewed, 1000).Work.CostMs == 50)
			}
			choice, _ := b.ChooseForCost(50, cs, nil, 1000)
			logs[i] += choice.Node
		}
		assert.Equal(t, len(b.nodes), 1)
	}
	assert.Equal(t, logs[0], logs[1])
}
