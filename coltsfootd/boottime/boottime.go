package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"coltsfootusher.example/core/clock"
)

const (
	// maxOffsetAge is the time after which the boot time is read anew although the wall clock shows no suspension.
	maxOffsetAge = 100 * time.Millisecond
	// minSuspension is the shortest suspension that is noticed. It is above the time that usually passes between two readings.
	minSuspension = time.Millisecond
)

// Clock is a monotonic clock that, unlike that of the time package, also runs while the machine is suspended. It is safe for
// concurrent use.
//
// Reading the boot time takes a system call, while the clocks of the time package are read without one. The boot time is
// therefore computed as the monotonic time plus an offset, which only suspensions increase. A change between the wall clock,
// which also runs during a suspension, and the monotonic time tells that the offset has to be read again.
type Clock struct {
	sources sources
	offset  atomic.Pointer[offset]
}

// sources reads the clocks of the system.
type sources struct {
	// monotonicAndWall returns the monotonic time since the start of the process and the time of the wall clock.
	monotonicAndWall func() (monotonic, wall time.Duration)
	boot             func() time.Duration
}

// offset is what is added to the monotonic time.
type offset struct {
	toBoot time.Duration
	// toWall is the difference of the wall clock to the monotonic time, and readAt the monotonic time, when the offset was read.
	toWall, readAt time.Duration
}

// New returns a clock.
func New() *Clock {
	start := time.Now()
	return newClock(sources{boot: bootTime, monotonicAndWall: func() (monotonic, wall time.Duration) {
		now := time.Now()
		return now.Sub(start), time.Duration(now.UnixNano())
	}})
}

func newClock(s sources) *Clock {
	c := &Clock{sources: s}
	c.readOffset(nil)
	return c
}

// Now returns the milliseconds since the machine booted.
func (c *Clock) Now() clock.Millis {
	monotonic, wall := c.sources.monotonicAndWall()
	current := c.offset.Load()
	wallMoved := (wall - monotonic - current.toWall).Abs() >= minSuspension
	if wallMoved || monotonic-current.readAt >= maxOffsetAge {
		c.readOffset(current)
		current = c.offset.Load()
	}
	return clock.FromDuration(monotonic + current.toBoot)
}

// readOffset replaces the previous offset, unless another goroutine has done so. Since the boot time is read before the monotonic
// time, an interruption between them can only make the offset too small. An offset that is not larger by a suspension is not
// used, so that the time does not go backwards.
func (c *Clock) readOffset(previous *offset) {
	boot := c.sources.boot()
	monotonic, wall := c.sources.monotonicAndWall()
	next := &offset{toBoot: boot - monotonic, toWall: wall - monotonic, readAt: monotonic}
	if previous != nil && next.toBoot < previous.toBoot+minSuspension {
		next.toBoot = previous.toBoot
	}
	c.offset.CompareAndSwap(previous, next)
}

func bootTime() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel, and without it leases cannot be checked for expiry.
		panic("boottime: " + err.Error())
	}
	return time.Duration(ts.Nano())
}
