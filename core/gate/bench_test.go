package gate

import (
	"testing"

	"coltsfootusher.example/core/clock"
)

func BenchmarkOfferDone(b *testing.B) {
	g := newGate(Config{Slots: 90, QueueLimit: 200})
	id := uint64(0)
	for ; id < 290; id++ {
		g.Offer(lookup(id, string(rune('a'+id%8)), 0), 0)
	}
	running := make([]uint64, 0, 90)
	for r := range g.running {
		running = append(running, r)
	}
	for i := 0; b.Loop(); i++ {
		for _, d := range g.Done(running[i%90], Sample{LatencyMs: 5}, 0) {
			running[i%90] = d.ID
		}
		id++
		g.Offer(lookup(id, "a", 0), 0)
	}
}

// BenchmarkOfferDoneAtALimit measures a call at a target that names a limit of as many calls as arrive.
func BenchmarkOfferDoneAtALimit(b *testing.B) {
	g := newGate(Config{Slots: 90, QueueLimit: 200})
	g.SetRateLimit(millisPerSecond, 0)
	id := uint64(0)
	for b.Loop() {
		id++
		now := clock.Millis(id)
		r := lookup(id, "a", 0)
		r.Arrival, r.Deadline = now, now+1000
		for _, d := range g.Offer(r, now) {
			g.Done(d.ID, Sample{LatencyMs: 5}, now)
		}
	}
}
