package warmup

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/targetstatus"
)

// Guards against origins that together send a cold target much more than its allowance, which wastes round trips, and against a
// target that joins and gets nothing for four seconds. Load: 195 and 2,500 origins that would send all the time, and 40 of 195.
func TestOriginsTogetherSendTheAllowance(t *testing.T) {
	l := targetstatus.Lifetime{Target: "t1", StartedMs: 1000}
	for _, c := range []struct{ nodes, active int }{{195, 195}, {2500, 2500}, {195, 40}} {
		const seconds, perSecond, coldMs = 30, 20, 60_000
		interval := Interval(perSecond, c.nodes)
		sent, early := 0, 0
		for seed := range uint64(c.active) {
			s := NewShare(rand.New(rand.NewPCG(seed, 1)))
			s.Listed(l, 1, coldMs, interval, 0)
			for now := clock.Millis(0); now < seconds*millisPerSecond; now += 10 {
				assert.Assert(t, s.Cold(l, now))
				if s.Due(l, now) {
					s.Sent(l.Target, interval, now)
					sent++
					if now < 4000 {
						early++
					}
				}
			}
		}
		assert.Assert(t, early > 0, "no request within four seconds")
		// Each origin sends one more request, at the start.
		allowed := float64(seconds*perSecond)*float64(c.active)/float64(c.nodes) + float64(c.active)
		assert.Assert(t, float64(sent) <= allowed, "%d sent, %v allowed", sent, allowed)
	}
}

// Guards against an origin that holds back requests to a target that is warm again, because of an entry that it receives late or
// of an earlier lifetime, or that sends full load because a node of an older version says nothing of the warm-up. Load: none.
func TestWhatAnOriginSeesAsCold(t *testing.T) {
	const interval = 1000
	first, second := targetstatus.Lifetime{Target: "t1", StartedMs: 1000}, targetstatus.Lifetime{Target: "t1", StartedMs: 2000}
	s := NewShare(rand.New(rand.NewPCG(1, 1)))
	s.Listed(first, 1, 4000, interval, 0)
	s.Replied(first, 0, interval, 100)
	assert.Assert(t, s.Cold(first, 3999), "the reply may be of an older version")
	assert.Assert(t, !s.Cold(first, 4000))
	s.Replied(first, 3000, interval, 5000)
	assert.Assert(t, s.Cold(first, 5100) && !s.Cold(second, 5100))
	s.Replied(first, 0, interval, 5200)
	assert.Assert(t, !s.Cold(first, 5300))
	s.Listed(first, 2, 4000, interval, 5400)
	assert.Assert(t, !s.Cold(first, 5500), "the entry was written before the reply")
	s.Listed(second, 1, 4000, interval, 5600)
	assert.Assert(t, s.Cold(second, 5700))
	s.Listed(second, 1, 4000, interval, 9000)
	assert.Assert(t, !s.Cold(second, 9700), "an unchanged entry counts from its first receipt")
	s.DropWarm(20_000)
	assert.Equal(t, s.Len(), 0)
}
