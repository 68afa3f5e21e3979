package retry

import (
	"math"
	"sync"

	"coltsfootusher.example/core/clock"
)

// budgetHalfLifeMs is the time in which unused retries lose half of their number.
// A longer time would let a quiet hour pay for a retry storm.
const budgetHalfLifeMs = 3000

// Budget bounds the retries of one node to a fraction of its successful calls, with a small floor.
// It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	percent      float64
	minPerSecond float64
	// earned comes from successes and decays; guaranteed is refilled with time.
	earned, guaranteed float64
	updated            clock.Millis
}

// New returns a budget of percent (0 to 100) of the successes, and of at least minPerSecond retries per second.
func New(percent, minPerSecond float64) *Budget {
	return &Budget{percent: percent, minPerSecond: minPerSecond}
}

// Configure changes the fraction and the floor; what was earned stays.
func (b *Budget) Configure(percent, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent, b.minPerSecond = percent, minPerSecond
}

// OnSuccess earns the fraction of one retry.
func (b *Budget) OnSuccess(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.earned += b.percent / 100
}

// Deduct uses up a number of retries that others made and that count against this budget too. It may leave a debt.
func (b *Budget) Deduct(retries float64, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.earned -= retries
}

// TrySpend uses one retry of the budget and reports whether one was there.
func (b *Budget) TrySpend(now clock.Millis) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	switch {
	case b.earned >= 1:
		b.earned--
	case b.guaranteed+min(0, b.earned) >= 1:
		b.guaranteed--
	default:
		return false
	}
	return true
}

func (b *Budget) update(now clock.Millis) {
	elapsed := float64(now - b.updated)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.earned *= math.Exp2(-elapsed / budgetHalfLifeMs)
	if b.minPerSecond <= 0 {
		b.guaranteed = 0
		return
	}
	b.guaranteed = min(b.guaranteed+b.minPerSecond*elapsed/1000, max(1, b.minPerSecond))
}
