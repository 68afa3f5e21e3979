package clock

import (
	"sync"
	"time"
)

// Millis is a point in time or a duration in milliseconds.
type Millis int64

// Never is later than every other time.
const Never Millis = 1<<63 - 1

// Duration converts a duration in milliseconds to a time.Duration.
func (m Millis) Duration() time.Duration {
	return time.Duration(m) * time.Millisecond
}

// FromDuration converts d to milliseconds, rounded down.
func FromDuration(d time.Duration) Millis {
	return Millis(d.Milliseconds())
}

// Clock tells the monotonic time in milliseconds since an arbitrary start.
type Clock interface {
	Now() Millis
}

// WallNow returns the wall clock, in milliseconds since the Unix epoch, for times that are compared between nodes.
func WallNow() Millis {
	return Millis(time.Now().UnixMilli())
}

// Monotonic is the monotonic clock of the process.
type Monotonic struct {
	start time.Time
}

// NewMonotonic returns a clock that starts at one hour, so that zero always lies in the past.
func NewMonotonic() *Monotonic {
	return &Monotonic{start: time.Now().Add(-time.Hour)}
}

// Now returns the milliseconds since the clock's start.
func (s *Monotonic) Now() Millis {
	return FromDuration(time.Since(s.start))
}

// Fake is a clock that tests move by hand; it is safe for concurrent use.
type Fake struct {
	mu  sync.Mutex
	now Millis
}

// NewFake returns a fake clock that shows now.
func NewFake(now Millis) *Fake {
	return &Fake{now: now}
}

// Now returns the time that the clock was last moved to.
func (f *Fake) Now() Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// Advance moves the clock forward by d milliseconds and returns the new time.
func (f *Fake) Advance(d Millis) Millis {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now += d
	return f.now
}
