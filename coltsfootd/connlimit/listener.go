package connlimit

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootusher.example/coltsfootd/memlimit"
	"coltsfootusher.example/core/clock"
)

const (
	// graceMs is the time in which a client sends the header of a request (header_timeout_s of the published limits).
	graceMs clock.Millis = 3000
	// nearlyFullShare is the fraction of the connection limit above which connections should be closed after their responses.
	nearlyFullShare = 0.85
	// recheckInterval is the longest time until a listener without room looks for a connection that it may close.
	recheckInterval = 100 * time.Millisecond
)

// Listener limits the connections that it accepts.
type Listener struct {
	net.Listener
	limiter *Limiter
	name    string
	limits  Limits
	memory  *memlimit.Budget
	closed  map[Reason]*atomic.Int64

	open atomic.Int64
	// waiting is true while Accept waits for room, space wakes it up, and done is closed with the listener.
	waiting atomic.Bool
	space   chan struct{}
	done    chan struct{}
	once    sync.Once

	mu       sync.Mutex
	conns    []*Conn
	accepted uint64
}

// Accept returns the next connection. At the limit it closes another one, or waits until there is one that it may close.
func (l *Listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: accepted, listener: l}
	c.hold = l.memory.NewHold(c)
	c.lastReadAt.Store(l.limiter.now.Load())
	for !l.add(c) {
		l.waiting.Store(true)
		select {
		case <-l.space:
		case <-time.After(recheckInterval):
		case <-l.done:
			_ = accepted.Close()
			return nil, net.ErrClosed
		}
	}
	l.waiting.Store(false)
	return c, nil
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// NearlyFull reports whether the number of connections is near its limit. Connections should then be closed after their
// responses, so that fewer idle ones have to be closed.
func (l *Listener) NearlyFull() bool {
	return l.limits.Connections > 0 && float64(l.open.Load()) > nearlyFullShare*float64(l.limits.Connections)
}

func (l *Listener) maxHeader() int64 {
	if l.limits.MaxHeader == nil {
		return 0
	}
	return l.limits.MaxHeader()
}

// add adds a connection and reports whether there is room for it. It closes another connection if that is necessary.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	var victim *Conn
	if l.limits.Connections > 0 && len(l.conns) >= l.limits.Connections {
		if victim = l.choose(); victim == nil {
			l.mu.Unlock()
			return false
		}
		l.removeLocked(victim)
	}
	c.index, c.number = len(l.conns), l.accepted
	l.accepted++
	l.conns = append(l.conns, c)
	l.open.Store(int64(len(l.conns)))
	l.mu.Unlock()
	if victim != nil {
		victim.closeFor(ConnectionLimit)
	}
	return true
}

// choose returns the connection that makes room for a new one, or nil if there is none. It takes the one that has been silent for
// longest: first of those that have not sent a header in the time that a client has for it, then of those without a request, then
// of those whose request is incomplete and silent for that time, then of those whose request is incomplete for that time. The
// mutex must be held.
func (l *Listener) choose() *Conn {
	now := clock.Millis(l.limiter.now.Load())
	var chosen *Conn
	lowest := noRank
	for _, c := range l.conns {
		if r := c.rank(now); r < lowest || r == lowest && r != noRank && c.silentLonger(chosen) {
			chosen, lowest = c, r
		}
	}
	return chosen
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	l.removeLocked(c)
	l.mu.Unlock()
	l.wake()
}

// removeLocked removes the connection if it has not been removed; the mutex must be held.
func (l *Listener) removeLocked(c *Conn) {
	if c.index >= len(l.conns) || l.conns[c.index] != c {
		return
	}
	last := len(l.conns) - 1
	l.conns[c.index] = l.conns[last]
	l.conns[c.index].index = c.index
	l.conns[last] = nil
	l.conns = l.conns[:last]
	l.open.Store(int64(last))
}

// wake lets a waiting Accept look for room.
func (l *Listener) wake() {
	if !l.waiting.Load() {
		return
	}
	select {
	case l.space <- struct{}{}:
	default:
	}
}

// closeStalled closes the connections that have been blocked in a write since the time or longer.
func (l *Listener) closeStalled(since clock.Millis) {
	var stalled []*Conn
	l.mu.Lock()
	for _, c := range l.conns {
		if at := c.writingSince.Load(); at != 0 && clock.Millis(at) <= since {
			stalled = append(stalled, c)
		}
	}
	l.mu.Unlock()
	for _, c := range stalled {
		c.closeFor(ResponseStalled)
	}
}

func (l *Listener) count() int {
	return int(l.open.Load())
}
