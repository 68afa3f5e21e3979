package clock

import (
	"sync"
	"time"
)

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Never is later than any other time.
const Never Millis = 1<<63 - 1

// Duration converts a duration in milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Clock returns the monotonic time in milliseconds since an arbitrary start.
type Clock interface {
	Now() Millis
}

// WallNow returns the wall-clock time in milliseconds since the Unix epoch, for times that are compared between nodes.
func WallNow() Millis {
	return Millis(time.Now().UnixMilli())
}

// Monotonic is the monotonic clock of the process.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a clock whose first reading is one hour, so that zero is always in the past.
func NewMonotonic() *Monotonic {
	return &Monotonic{start: time.Now().Add(-time.Hour)}
}

// Now returns the time since the clock's start in milliseconds.
func (s *Monotonic) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Fake is a clock that tests advance explicitly. It is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now Millis
}

// NewFake returns a fake clock set to now.
func NewFake(now Millis) *Fake {
	return &Fake{now: now}
}

// Now returns the time to which the clock was last set or advanced.
func (f *Fake) Now() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d and returns the new time.
func (f *Fake) Advance(d Millis) Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
	return f.now
}
