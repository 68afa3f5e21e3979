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

var schedule = freshness.DefaultSchedule()

// Guards against a fleet without a reader after the first ranks have failed, and against all nodes reading at once.
func TestNextRankReplacesAFailedReader(t *testing.T) {
	assert.Assert(t, schedule.ReadDue(0, 500))
	assert.Assert(t, schedule.ReadDue(-1, 500))
	assert.Assert(t, !schedule.ReadDue(1, 799), "the second rank must leave the platform to the first")
	assert.Assert(t, schedule.ReadDue(1, 800))
	assert.Assert(t, !schedule.ReadDue(2, 859))
	assert.Assert(t, schedule.ReadDue(2, 860))
	assert.Assert(t, schedule.ReadDue(5000, 3200), "the last rank must read before a lease of a few seconds ends")
	assert.Assert(t, schedule.AskDue(3, 500))
	assert.Assert(t, !schedule.AskDue(0, 799))
	assert.Assert(t, schedule.AskDue(0, 800))
}

// Guards against hundreds of nodes that read the platform at the same moment, after the reader of a large fleet is lost
// or the platform has rejected a third of the nodes. Each step of the delay must at most double the number of readers.
func TestTakeoverAtMostDoublesTheReaders(t *testing.T) {
	due := func(age clock.Millis) int {
		n := 0
		for rank := 1; rank < 200; rank++ {
			if schedule.ReadDue(rank, age) {
				n++
			}
		}
		return n
	}
	readers := due(schedule.TakeoverMs)
	assert.Equal(t, readers, 1)
	for age := schedule.TakeoverMs; age < 2000; age += schedule.RankStepMs {
		assert.Assert(t, due(age) <= 2*readers+1, "%d readers at %d ms", due(age), age)
		readers = due(age)
	}
	assert.Equal(t, readers, 199)
}

// Guards against a platform that comes back and is read by a fleet of thousands of nodes in the same moment: while all reads
// fail, no more nodes may begin to read in a second than the platform answers at the design size.
func TestReadersOfALargeFleetAreSpread(t *testing.T) {
	const nodes, readsPerSecond = 2500, 2000
	begin := make(map[clock.Millis]int)
	for rank := range nodes {
		begin[schedule.ReadAge(rank)]++
	}
	for from := schedule.TakeoverMs; from < 5000; from++ {
		n := 0
		for age := from; age < from+100; age++ {
			n += begin[age]
		}
		assert.Assert(t, n <= readsPerSecond/10, "%d nodes begin to read from %d ms on", n, from)
	}
}

// Guards against nodes that ask repeatedly while the confirmation they wait for can't be available yet.
func TestNextAskWaitsForTheNextRead(t *testing.T) {
	assert.Equal(t, schedule.NextAskDelay(1, 0), clock.Millis(600))
	assert.Equal(t, schedule.NextAskDelay(1, 400), clock.Millis(200))
	assert.Equal(t, schedule.NextAskDelay(1, 900), clock.Millis(100))
	assert.Equal(t, schedule.NextAskDelay(500, 100), clock.Millis(1000), "late ranks ask less often")
}

// Guards against nodes that read the platform although its reader works: the oldest confirmation that a node can have must be
// younger than the one at which it reads itself. Ranks above 1 ask a node that itself asks the reader.
func TestSoundReaderIsLeftAlone(t *testing.T) {
	const callMs, tickMs clock.Millis = 20, 50
	// oldest returns the highest age of the confirmation at a node whose source has confirmations of up to sourceMs.
	oldest := func(rank int, sourceMs clock.Millis) clock.Millis {
		askedAt := schedule.NextAskDelay(rank, 0) + tickMs
		if askedAt <= sourceMs {
			// The source may still have the same confirmation, and the node asks again.
			askedAt += schedule.NextAskDelay(rank, askedAt) + tickMs
		}
		return askedAt + callMs
	}
	reader := schedule.ReadEveryMs + tickMs + callMs
	leader := oldest(1, reader)
	assert.Assert(t, leader < schedule.ReadAge(1), "rank 1: age %d, reads at %d", leader, schedule.ReadAge(1))
	for _, rank := range []int{2, 31, 32, 1000} {
		age := oldest(rank, leader)
		assert.Assert(t, age < schedule.ReadAge(rank), "rank %d: age %d, reads at %d", rank, age, schedule.ReadAge(rank))
	}
}
