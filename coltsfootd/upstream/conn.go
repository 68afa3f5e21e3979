package upstream

import (
	"bufio"
	"cmp"
	"context"
	"io"
	"math"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"coltsfootusher.example/coltsfootd/socket"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	// maxStaleResponses is the number of responses to other requests that are read past on one connection, maxSkippedBytes the
	// longest body of one of them.
	maxStaleResponses       = 3
	maxStaleBodyBytes int64 = 256 << 10
	// maxInformational is the number of informational responses that may come before the final one.
	maxInformational = 8
	// defaultMaxHeaderBytes bounds a response head where the settings of a pool do not.
	defaultMaxHeaderBytes int64 = 64 << 10
)

// unlimited allows any number of bytes. A body is bounded by its reader, which buffers a part and passes the rest on.
const unlimited = math.MaxInt64

// conn is one connection, used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// idleSince and idleLimit say until when the connection may be used again.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool
	lastReadAt  *atomic.Int64
	sockets     *socket.Budget
	closeOnce   sync.Once
	// maxHeaderBytes bounds each response head; bytesLeft is what may be read before the response counts as oversized.
	maxHeaderBytes, bytesLeft int64
}

func newConn(c net.Conn, s Settings, heard *atomic.Int64) *conn {
	own := &conn{
		Conn: c, idleTimeout: s.IdleTimeout, lastReadAt: heard, sockets: s.Sockets, maxHeaderBytes: cmp.Or(s.MaxResponseHeaderBytes, defaultMaxHeaderBytes),
		bytesLeft: unlimited,
	}
	own.reader = bufio.NewReaderSize(own, readBufferBytes)
	own.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return own
}

// Close closes the connection.
func (c *conn) Close() error {
	c.closeOnce.Do(c.sockets.Closed)
	return c.Conn.Close()
}

// Read records the time of each byte that arrives, which shows that the other end is alive. The error is ErrOversized when
// all bytes that are allowed at present have been read.
func (c *conn) Read(p []byte) (int, error) {
	if c.bytesLeft <= 0 {
		return 0, ErrResponseTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.bytesLeft)])
	c.bytesLeft -= int64(n)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	return n, err
}

// usable reports whether the idle connection can take a request: not idle for too long, not closed by the other end,
// and without bytes that nobody asked for.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	return socket.PeekState(c.Conn) == socket.Idle
}

// roundTrip sends the request and reads the response to it; sent is false if no byte can have been sent.
func (c *conn) roundTrip(ctx context.Context, r *Request, echo string) (response *http.Response, sent bool, err error) {
	if err := ctx.Err(); err != nil {
		return nil, false, err
	}
	if err := r.write(c.writer); err != nil {
		return nil, true, err
	}
	for range maxStaleResponses {
		response, err = c.readResponse(r.Method)
		if err != nil {
			return nil, true, err
		}
		if echo == "" || response.Header.Get(echo) == r.Header.Get(echo) {
			c.bytesLeft = unlimited
			return response, true, nil
		}
		// The response belongs to an earlier request on this connection; ours may still follow.
		c.bytesLeft = maxStaleBodyBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, true, err
		}
		if response.Close {
			return nil, true, io.ErrUnexpectedEOF
		}
	}
	return nil, true, Error.New("%d responses that belong to other requests", maxStaleResponses)
}

// readResponse reads the head of the next final response. All heads before it count towards the bound.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.bytesLeft = c.maxHeaderBytes
	for range maxInformational + 1 {
		response, err := http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if response.StatusCode >= http.StatusOK {
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, Error.New("unexpected status %d", response.StatusCode)
		}
	}
	return nil, ErrResponseTooLarge
}

// keepAliveTimeout returns the idle time that the other end states, less a margin, or fallback.
func keepAliveTimeout(header http.Header, fallback time.Duration) time.Duration {
	for part := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			// A statement that can't be read is no reason to trust the connection for longer than usual.
			return fallback
		}
		const marginDivisor = 3
		stated := time.Duration(seconds) * time.Second
		return min(fallback, stated-stated/marginDivisor)
	}
	return fallback
}
