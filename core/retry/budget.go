package retry

import (
	"math"
	"sync"

	"coltsfootusher.example/core/clock"
)

// budgetHalfLifeMs is the half-life of earned retries that are not used.
// With a longer one, retries earned in quiet times would allow a retry storm later.
const budgetHalfLifeMs = 3000

// Budget limits the retries of a node to a percentage of its successful calls, and allows a small number per second anyway.
// It is safe for concurrent use.
type Budget struct {
	mu           sync.Mutex
	percent      float64
	minPerSecond float64
	// earned is the number of retries earned by successes; it decays. guaranteed is the number of retries available from
	// the minimum rate.
	earned, guaranteed float64
	updated            clock.Millis
}

// New returns a budget of percent (0 to 100) of the successful calls, but at least minPerSecond retries per second.
func New(percent, minPerSecond float64) *Budget {
	return &Budget{percent: percent, minPerSecond: minPerSecond}
}

// Configure changes the percentage and the minimum rate. Earned retries are kept.
func (b *Budget) Configure(percent, minPerSecond float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.percent, b.minPerSecond = percent, minPerSecond
}

// OnSuccess adds the fraction of a retry that a successful call earns.
func (b *Budget) OnSuccess(now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.earned += b.percent / 100
}

// Deduct subtracts retries that others have made and that count against this budget too. The balance may become negative.
func (b *Budget) Deduct(retries float64, now clock.Millis) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.update(now)
	b.earned -= retries
}

// TrySpend uses one retry of the budget and reports whether one was available.
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

// update applies the decay and the minimum rate for the time since the last update.
func (b *Budget) update(now clock.Millis) {
	elapsedMs := float64(now - b.updated)
	if elapsedMs <= 0 {
		return
	}
	b.updated = now
	b.earned *= math.Exp2(-elapsedMs / budgetHalfLifeMs)
	if b.minPerSecond <= 0 {
		b.guaranteed = 0
		return
	}
	b.guaranteed = min(b.guaranteed+b.minPerSecond*elapsedMs/1000, max(1, b.minPerSecond))
}
