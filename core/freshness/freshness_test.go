package freshness_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/freshness"
)

// Guards against a delayed or repeated response that makes old state look confirmed.
func TestLeaseAgeCountsFromTheRequest(t *testing.T) {
	var l freshness.Lease
	assert.Equal(t, l.Age(1000), clock.Never)
	assert.Assert(t, l.Confirm(7, 1000))
	assert.Equal(t, l.Age(3500), clock.Millis(2500))
	assert.Assert(t, !l.Confirm(7, 900), "an older confirmation must not shorten or extend the lease")
	assert.Assert(t, !l.Confirm(6, 3000), "an older version must not confirm a newer one")
	assert.Equal(t, l.Age(3500), clock.Millis(2500))
	assert.Assert(t, l.Confirm(9, 3400))
	assert.Equal(t, l.Version(), int64(9))
	assert.Equal(t, l.Age(3500), clock.Millis(100))
}

// Guards against a fleet without a reader after the first ranks have failed, and against all nodes reading at once.
func TestNextRankReplacesAFailedReader(t *testing.T) {
	s := freshness.Schedule{ReadEveryMs: 1000, AskEveryMs: 700, TakeoverMs: 1600, RankStepMs: 200}
	assert.Assert(t, s.ReadDue(0, 1000))
	assert.Assert(t, !s.ReadDue(1, 1500), "the second rank must leave the platform to the first")
	assert.Assert(t, s.ReadDue(1, 1600))
	assert.Assert(t, !s.ReadDue(2, 1700))
	assert.Assert(t, s.ReadDue(2, 1800))
	assert.Assert(t, s.ReadDue(5000, 3200), "the last rank must read before a lease of a few seconds ends")
	assert.Assert(t, s.AskDue(3, 700))
	assert.Assert(t, !s.AskDue(0, 1500))
	assert.Assert(t, s.AskDue(0, 1600))
}

// Guards against hundreds of nodes that read the platform at the same moment, after the reader of a large fleet is lost
// or the platform has rejected a third of the nodes. Each step of the delay must at most double the number of readers.
func TestTakeoverAtMostDoublesTheReaders(t *testing.T) {
	s := freshness.Schedule{ReadEveryMs: 1000, AskEveryMs: 700, TakeoverMs: 1600, RankStepMs: 200}
	due := func(age clock.Millis) int {
		n := 0
		for rank := 1; rank < 200; rank++ {
			if s.ReadDue(rank, age) {
				n++
			}
		}
		return n
	}
	readers := due(s.TakeoverMs)
	assert.Equal(t, readers, 1)
	for age := s.TakeoverMs; age < 3000; age += s.RankStepMs {
		assert.Assert(t, due(age) <= 2*readers+1, "%d readers at %d ms", due(age), age)
		readers = due(age)
	}
	assert.Equal(t, readers, 127)
}

// Guards against nodes that ask repeatedly while the confirmation they wait for can't be available yet.
func TestNextAskWaitsForTheNextRead(t *testing.T) {
	s := freshness.Schedule{ReadEveryMs: 1000, AskEveryMs: 700, TakeoverMs: 1600, RankStepMs: 200}
	assert.Equal(t, s.NextAskDelay(0), clock.Millis(1100))
	assert.Equal(t, s.NextAskDelay(800), clock.Millis(300))
	assert.Equal(t, s.NextAskDelay(1500), clock.Millis(100))
}
