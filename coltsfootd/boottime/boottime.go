package boottime

import (
	"golang.org/x/sys/unix"

	"coltsfootusher.example/core/clock"
)

const (
	millisPerSecond = 1000
	nanosPerMilli   = 1_000_000
)

// Clock is a monotonic clock that also runs while the machine is suspended, unlike that of the time package.
type Clock struct{}

// Now returns the milliseconds since the start of the machine.
func (Clock) Now() clock.Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel; without it no lease can be judged.
		panic("boottime: " + err.Error())
	}
	return clock.Millis(ts.Sec*millisPerSecond + ts.Nsec/nanosPerMilli)
}
