package boottime

import (
	"golang.org/x/sys/unix"

	"coltsfootusher.example/core/clock"
)

const (
	millisPerSecond = 1000
	nanosPerMilli   = 1_000_000
)

// Clock is a monotonic clock that, unlike that of the time package, also runs while the machine is suspended.
type Clock struct{}

// Now returns the milliseconds since the machine booted.
func (Clock) Now() clock.Millis {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every supported kernel, and without it leases cannot be checked for expiry.
		panic("boottime: " + err.Error())
	}
	return clock.Millis(ts.Sec*millisPerSecond + ts.Nsec/nanosPerMilli)
}
