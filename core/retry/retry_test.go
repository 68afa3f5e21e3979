package retry

import (
	"math/rand/v2"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
)

// callTree runs a tree of calls with the given fan-outs, whose inner calls fail or lose their responses at random.
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

func (tr *callTree) run(level, allowance, lossPercent, failPercent int) (left int, ok bool) {
	tr.mu.Lock()
	tr.runs[level]++
	tr.mu.Unlock()
	local := NewAllowance(allowance)
	if level < len(tr.fanOut) {
		var siblings sync.WaitGroup
		for range tr.fanOut[level] {
			siblings.Go(func() {
				for {
					left, ok := tr.run(level+1, local.TakeAllExcept(1), lossPercent, failPercent)
					lost := tr.chance(lossPercent)
					if !lost {
						local.Return(left)
					}
					if (ok && !lost) || !local.TrySpend() {
						return
					}
				}
			})
		}
		siblings.Wait()
	}
	return local.TakeAll(), !tr.chance(failPercent)
}

// Retries must not multiply over the levels of a call chain, even with concurrent sibling calls and lost responses.
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

// A response that returns more retries than were delegated to the call must not create retries.
func TestReturnedAllowanceCannotExceedWhatWasTaken(t *testing.T) {
	a := NewAllowance(2)
	assert.Equal(t, a.TakeAll(), 2)
	assert.Assert(t, !a.TrySpend())
	a.Return(50)
	a.Return(-3)
	assert.Equal(t, a.TakeAll(), 2)
	assert.Equal(t, NewAllowance(-1).TakeAll(), 0)
}

// The budget must prevent a retry storm, and must still allow retries at low call rates.
func TestBudgetBoundsRetriesAndKeepsMinimum(t *testing.T) {
	b := New(10, 1)
	for now := clock.Millis(1); now <= 1000; now++ {
		b.OnSuccess(now)
	}
	spendAll := func(now clock.Millis) (n int) {
		for b.TrySpend(now) {
			n++
		}
		return n
	}
	n := spendAll(1000)
	assert.Assert(t, n >= 80 && n <= 101, "%d retries for 1000 successes", n)
	assert.Equal(t, spendAll(2000), 1)
	assert.Equal(t, spendAll(60_000), 1)
	b.Configure(0, 0)
	assert.Equal(t, spendAll(120_000), 0)
}

// Delays must stay within the maximum and must not overflow at high retry numbers.
func TestBackoffStaysWithinItsBound(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	b := Backoff{BaseMs: 10, MaxMs: 500}
	for n := range 200 {
		delay := b.Delay(n, random)
		assert.Assert(t, delay >= 0 && delay <= min(500, clock.Millis(10)<<min(n, 10)), "delay before retry %d is %d ms", n, delay)
	}
	assert.Equal(t, Backoff{}.Delay(3, random), clock.Millis(0))
}
