package connlimit

import (
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"coltsfootusher.example/coltsfootd/header"
	"coltsfootusher.example/coltsfootd/memlimit"
	"coltsfootusher.example/core/clock"
)

// phase is what a connection does.
type phase int32

const (
	// awaitingHeader is the phase until the header of a request is complete.
	awaitingHeader phase = iota
	// receiving is the phase from the start of the handler until the request is complete and admitted.
	receiving
	// running is the phase until the response is complete.
	running
)

// rank is the order in which connections make room for new ones.
type rank int

const (
	headerLate rank = iota
	withoutRequest
	requestLate
	requestSlow
	noRank
)

// exemptWeight is the memory of each header that is not accounted, so that small headers don't depend on large ones. A header
// of 2 KB in 30 lines has this weight.
const exemptWeight = 8 << 10

// Conn is an accepted connection that net/http serves.
type Conn struct {
	net.Conn
	listener *Listener
	// index and number are protected by the mutex of the listener. number counts the accepted connections.
	index  int
	number uint64

	phase atomic.Int32
	// answered is true once a request of this connection has been answered.
	answered atomic.Bool
	// lastReadAt, incompleteSince and writingSince are times of ticks. incompleteSince is the time of the first byte of an
	// incomplete header, or that at which it was complete and the rest of the request was not, and writingSince that of a write
	// that is in progress; 0 means that there is none.
	lastReadAt, incompleteSince, writingSince atomic.Int64

	// buffered is true once bytes have arrived that belong to no header. net/http may have the next header, or its beginning, among
	// them.
	buffered atomic.Bool
	// header follows the header of the current request. It is used by the goroutine that serves the connection.
	header header.Scanner
	hold   memlimit.Hold
	// ended is true once the connection is being closed while a header arrives. Nothing is read or written then.
	ended atomic.Bool

	once sync.Once
}

// errEnded is the error of a connection that is closed while a header arrives. net/http answers other errors, and io.EOF within a
// header, with status 400, after which clients don't try again.
var errEnded = &net.OpError{Op: "read", Net: "tcp", Err: net.ErrClosed}

// Read accounts for the bytes of headers.
func (c *Conn) Read(p []byte) (int, error) {
	if c.ended.Load() {
		return 0, errEnded
	}
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	now := c.listener.limiter.now.Load()
	c.lastReadAt.Store(now)
	if phase(c.phase.Load()) != awaitingHeader {
		c.buffered.Store(true)
		return n, err
	}
	if c.header.Bytes() == 0 {
		c.incompleteSince.Store(now)
	}
	if rest := c.header.Scan(p[:n]); rest > 0 {
		c.buffered.Store(true)
	}
	if limit := c.listener.maxHeader(); limit > 0 && c.header.Bytes() > limit {
		c.ended.Store(true)
		c.refuseHeader()
		return 0, errEnded
	}
	if !c.hold.Grow(c.header.Weight()) {
		c.ended.Store(true)
		return 0, errEnded
	}
	return n, err
}

// Write records the time for which the client does not read. On a connection that has ended it writes nothing: net/http takes a
// line that the end has cut for a whole one, and answers it with status 400.
func (c *Conn) Write(p []byte) (int, error) {
	if c.ended.Load() {
		return 0, errEnded
	}
	c.writingSince.Store(c.listener.limiter.now.Load())
	n, err := c.Conn.Write(p)
	c.writingSince.Store(0)
	return n, err
}

// CloseWrite closes the sending direction of the connection, if the connection supports it.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the underlying connection.
func (c *Conn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection and returns what it holds. Later calls have no effect.
func (c *Conn) Close() error {
	var err error
	c.once.Do(func() {
		c.listener.remove(c)
		c.hold.Close()
		err = c.Conn.Close()
	})
	return err
}

// Evict closes the connection because its header takes the most memory of those that are incomplete.
func (c *Conn) Evict() {
	c.closeFor(HeaderMemory)
}

// closeFor closes the connection and counts it.
func (c *Conn) closeFor(reason Reason) {
	c.listener.closed[reason].Add(1)
	_ = c.Close()
}

// SetState follows the states of net/http.
func (c *Conn) SetState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.RequestStarted()
	case http.StateIdle:
		c.endHeader()
		c.answered.Store(true)
		c.lastReadAt.Store(c.listener.limiter.now.Load())
		c.phase.Store(int32(awaitingHeader))
		c.listener.wake()
	}
}

// RequestStarted records that a header is complete. net/http does not report this state for a request that it had read together
// with the one before, so the handler must call it too.
func (c *Conn) RequestStarted() {
	if !c.phase.CompareAndSwap(int32(awaitingHeader), int32(receiving)) {
		return
	}
	c.incompleteSince.Store(c.listener.limiter.now.Load())
	c.hold.Keep(c.header.Weight())
}

// HeaderParsed accounts for the header of a request of which a part may have arrived together with what came before it. It
// returns false if there is no memory for it; the connection is closed then.
func (c *Conn) HeaderParsed(r *http.Request) bool {
	if !c.buffered.Load() {
		return true
	}
	weight := header.WeightOf(r)
	// Anew, because a complete header would not compete with others.
	c.hold.Release()
	if !c.hold.Grow(weight) {
		return false
	}
	c.hold.Keep(weight)
	return true
}

// HeaderHeld sets the memory that the header of the request takes until the response is complete.
func (c *Conn) HeaderHeld(bytes int64) {
	c.hold.Keep(bytes)
}

// RequestComplete records that the request was received whole and admitted. Its connection is not closed to make room.
func (c *Conn) RequestComplete() {
	c.incompleteSince.Store(0)
	c.phase.Store(int32(running))
}

func (c *Conn) endHeader() {
	c.incompleteSince.Store(0)
	c.hold.Release()
	c.header.Reset()
}

// rank returns the order in which the connection makes room for another one.
func (c *Conn) rank(now clock.Millis) rank {
	silent := now-clock.Millis(c.lastReadAt.Load()) >= graceMs
	since := c.incompleteSince.Load()
	slow := since != 0 && now-clock.Millis(since) >= graceMs
	switch phase(c.phase.Load()) {
	case awaitingHeader:
		if slow || silent && !c.answered.Load() {
			return headerLate
		}
		return withoutRequest
	case receiving:
		if silent {
			return requestLate
		}
		if slow {
			return requestSlow
		}
	}
	return noRank
}

// silentLonger reports whether the connection has been silent for longer than the other one.
func (c *Conn) silentLonger(than *Conn) bool {
	own, other := c.lastReadAt.Load(), than.lastReadAt.Load()
	return own < other || own == other && c.number < than.number
}
