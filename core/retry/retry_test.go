package retry

import (
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
)

// callTree executes a call callTree of the given fan-outs, whose inner calls fail or lose their responses at random.
type callTree struct {
	fanOut []int
	mu     sync.Mutex
	random *rand.Rand
	runs   []int
}

func (tr *callTree) chance(percent int) bool {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return tr.random.IntN(100) < percent
}

func (tr *callTree) run(level, carried, lossPercent, failPercent int) (left int, ok bool) {
	tr.mu.Lock()
	tr.runs[level]++
	tr.mu.Unlock()
	own := NewAllowance(carried)
	if level < len(tr.fanOut) {
		var siblings sync.WaitGroup
		for range tr.fanOut[level] {
			siblings.Go(func() {
				for {
					left, ok := tr.run(level+1, own.TakeAllExcept(1), lossPercent, failPercent)
					lost := tr.chance(lossPercent)
					if !lost {
						own.Return(left)
					}
					if (ok && !lost) || !own.TrySpend() {
						return
					}
				}
			})
		}
		siblings.Wait()
	}
	return own.TakeAll(), !tr.chance(failPercent)
}

// Guards against retries that multiply over the levels of a chain, with concurrent siblings and lost responses.
func TestRetriesDoNotMultiplyOverCallLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fanOut := rapid.SliceOfN(rapid.IntRange(1, 3), 1, 4).Draw(t, "fanOut")
		allowance := rapid.IntRange(0, 4).Draw(t, "allowance")
		loss := rapid.IntRange(0, 100).Draw(t, "lossPercent")
		fail := rapid.IntRange(0, 100).Draw(t, "failPercent")
		seed := rapid.Uint64().Draw(t, "seed")
		tr := &callTree{fanOut: fanOut, random: rand.New(rand.NewPCG(seed, 0)), runs: make([]int, len(fanOut)+1)}
		left, _ := tr.run(0, allowance, loss, fail)
		assert.Assert(t, left >= 0 && left <= allowance)
		bound := 1 + allowance
		for level, runs := range tr.runs[1:] {
			bound *= fanOut[level]
			assert.Assert(t, runs <= bound, "level %d ran %d times, bound %d", level+1, runs, bound)
		}
	})
}

// Guards against a response that claims more allowance than the call carried.
func TestReturnedAllowanceCannotExceedWhatWasTaken(t *testing.T) {
	a := NewAllowance(2)
	assert.Equal(t, a.TakeAll(), 2)
	assert.Assert(t, !a.TrySpend())
	a.Return(50)
	a.Return(-3)
	assert.Equal(t, a.TakeAll(), 2)
	assert.Equal(t, NewAllowance(-1).TakeAll(), 0)
}

// Guards against a budget that allows a retry storm, and against one that allows no retry at all at low rates.
func TestBudgetBoundsRetriesAndKeepsMinimum(t *testing.T) {
	b := New(10, 1)
	for now := clock.Millis(1); now <= 1000; now++ {
		b.OnSuccess(now)
	}
	count := func(now clock.Millis) (n int) {
		for b.TrySpend(now) {
			n++
		}
		return n
	}
	n := count(1000)
	assert.Assert(t, n >= 80 && n <= 101, "%d retries for 1000 successes", n)
	assert.Equal(t, count(2000), 1)
	assert.Equal(t, count(60_000), 1)
	b.Configure(0, 0)
	assert.Equal(t, count(120_000), 0)
}

// Guards against pauses outside the bound, and against an overflow at high retry numbers.
func TestBackoffStaysWithinItsBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := Backoff{BaseMs: 10, MaxMs: 500}
	for n := range 200 {
		pause := b.Delay(n, random)
		assert.Assert(t, pause >= 0 && pause <= min(500, clock.Millis(10)<<min(n, 10)), "retry %d pauses %d ms", n, pause)
	}
	assert.Equal(t, Backoff{}.Delay(3, random), clock.Millis(0))
}
