package boottime

import (
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
)

// machine is a machine whose clocks the test moves.
type machine struct {
	monotonic, suspended, wallStep time.Duration
	bootReads                      int
	// interruption passes between the readings of the boot time and the monotonic time.
	interruption time.Duration
}

func (m *machine) sources() sources {
	return sources{
		monotonicAndWall: func() (monotonic, wall time.Duration) {
			return m.monotonic, m.monotonic + m.suspended + m.wallStep
		},
		boot: func() time.Duration {
			m.bootReads++
			boot := m.monotonic + m.suspended
			m.monotonic += m.interruption
			return boot
		},
	}
}

// Guards against a lease that seems valid after the machine was suspended for longer than it lasts, also if the wall clock was
// set back by the length of the suspension.
func TestSuspensionCountsAtOnce(t *testing.T) {
	for name, step := range map[string]time.Duration{
		"wall clock not set": 0, "wall clock set forward": time.Hour, "wall clock set back": -3 * time.Second,
	} {
		m := &machine{monotonic: time.Hour}
		c := newClock(m.sources())
		before := c.Now()
		m.suspended += 20 * time.Second
		m.wallStep += step
		assert.Equal(t, c.Now()-before, clock.Millis(20_000), name)
	}
	m := &machine{monotonic: time.Hour}
	c := newClock(m.sources())
	before := c.Now()
	m.suspended, m.wallStep = 20*time.Second, -20*time.Second
	m.monotonic += maxOffsetAge
	assert.Equal(t, c.Now()-before, clock.Millis(20_000)+clock.FromDuration(maxOffsetAge))
}

// Guards against a time that goes backwards or runs ahead, over random suspensions, steps of the wall clock and interruptions.
func TestTimeNeverGoesBackwardsOrAhead(t *testing.T) {
	seed := rand.Uint64()
	t.Log("seed", seed)
	random := rand.New(rand.NewPCG(seed, 0))
	upTo := func(d time.Duration) time.Duration { return time.Duration(random.Int64N(int64(d))) }
	m := &machine{}
	c := newClock(m.sources())
	previous := c.Now()
	for range 100_000 {
		m.monotonic += upTo(10 * time.Millisecond)
		m.interruption = 0
		switch random.IntN(20) {
		case 0:
			m.suspended += upTo(time.Second)
		case 1:
			m.wallStep += upTo(2*time.Second) - time.Second
		case 2:
			m.interruption = upTo(50 * time.Millisecond)
		}
		now := c.Now()
		assert.Assert(t, now >= previous, "%d after %d", now, previous)
		assert.Assert(t, now <= clock.FromDuration(m.monotonic+m.suspended), "%d is ahead", now)
		previous = now
	}
}

// Guards against a system call for each reading, which is most of the cost of a reading.
func TestBootTimeIsReadRarely(t *testing.T) {
	m := &machine{}
	c := newClock(m.sources())
	const seconds, readingsPerSecond = 10, 1000
	for range seconds * readingsPerSecond {
		c.Now()
		m.monotonic += time.Second / readingsPerSecond
	}
	assert.Assert(t, m.bootReads <= 1+seconds*int(time.Second/maxOffsetAge), "%d readings", m.bootReads)
}

// Guards against a clock that is off the boot time of the system, or that goes backwards when several goroutines read it.
func TestClockFollowsTheSystem(t *testing.T) {
	const maxInterruptionMs = 10_000
	c := New()
	var group sync.WaitGroup
	for range 4 {
		group.Go(func() {
			previous := c.Now()
			for range 100_000 {
				before := clock.FromDuration(bootTime())
				now := c.Now()
				after := clock.FromDuration(bootTime())
				assert.Check(t, now >= previous, "%d after %d", now, previous)
				assert.Check(t, now <= after, "%d is after %d", now, after)
				// The clock may be late by the length of an interruption while the offset was read.
				assert.Check(t, now >= before-maxInterruptionMs, "%d is before %d", now, before)
				previous = now
			}
		})
	}
	group.Wait()
}

func BenchmarkNow(b *testing.B) {
	c := New()
	for b.Loop() {
		c.Now()
	}
}
