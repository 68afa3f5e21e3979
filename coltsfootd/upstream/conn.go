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
	// maxStaleResponses is the number of responses to other requests that are skipped on one connection, maxStaleBodyBytes the
	// longest body of one of them.
	maxStaleResponses       = 3
	maxStaleBodyBytes int64 = 256 << 10
	// maxInformational is the number of informational responses that may precede the final one.
	maxInformational = 8
	// defaultMaxHeaderBytes limits the headers of a response if the settings of a pool do not.
	defaultMaxHeaderBytes int64 = 64 << 10
)

// unlimited allows any number of bytes. The size of a body is limited by its reader, which buffers a part and passes the rest on.
const unlimited = math.MaxInt64

// conn is a connection that is used by one request at a time.
type conn struct {
	net.Conn
	reader *bufio.Reader
	writer *bufio.Writer
	// request tells http.ReadResponse the method of the request, which determines whether the response has a body.
	request http.Request
	// idleSince and idleTimeout determine until when the connection may be reused.
	idleSince   time.Time
	idleTimeout time.Duration
	used        bool
	lastReadAt  *atomic.Int64
	sockets     *socket.Budget
	closeOnce   sync.Once
	// maxHeaderBytes limits the headers of each response. bytesLeft is the number of bytes that may be read before the response
	// counts as too large.
	maxHeaderBytes, bytesLeft int64
	header                    responseHeader
}

func newConn(c net.Conn, s Settings, lastReadAt *atomic.Int64) *conn {
	wrapped := &conn{
		Conn: c, idleTimeout: s.IdleTimeout, lastReadAt: lastReadAt, sockets: s.Sockets,
		maxHeaderBytes: cmp.Or(s.MaxResponseHeaderBytes, defaultMaxHeaderBytes), bytesLeft: unlimited,
	}
	wrapped.header = responseHeader{budget: s.Headers, conn: c}
	wrapped.reader = bufio.NewReaderSize(wrapped, readBufferBytes)
	wrapped.writer = bufio.NewWriterSize(c, writeBufferBytes)
	return wrapped
}

// Close closes the connection and stops counting it as open.
func (c *conn) Close() error {
	c.closeOnce.Do(c.sockets.Closed)
	c.header.drop()
	return c.Conn.Close()
}

// takeHeader passes on the memory of the header of the response.
func (c *conn) takeHeader() heldHeader {
	return c.header.take()
}

// Read records the time at which bytes arrive, which shows that the receiver is alive. It returns ErrResponseTooLarge once all
// bytes that are currently permitted have been read.
func (c *conn) Read(p []byte) (int, error) {
	if c.bytesLeft <= 0 {
		return 0, ErrResponseTooLarge
	}
	n, err := c.Conn.Read(p[:min(int64(len(p)), c.bytesLeft)])
	c.bytesLeft -= int64(n)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
	}
	if !c.header.read(p[:max(n, 0)]) || err != nil && c.header.evicted() {
		return 0, ErrResponseTooLarge
	}
	return n, err
}

// usable reports whether the idle connection can take a request: it has not been idle for too long, was not closed by the
// receiver, and has no unsolicited bytes to read.
func (c *conn) usable(now time.Time) bool {
	if now.Sub(c.idleSince) >= c.idleTimeout || c.reader.Buffered() > 0 {
		return false
	}
	return socket.PeekState(c.Conn) == socket.Idle
}

// lost reports whether the receiver has closed the idle connection before its time.
func (c *conn) lost(now time.Time) bool {
	return now.Sub(c.idleSince) < c.idleTimeout && socket.PeekState(c.Conn) == socket.Closed
}

// roundTrip sends the request and reads the response to it. sent is false if no byte can have been sent.
func (c *conn) roundTrip(ctx context.Context, r *Request, echoHeader string) (response *http.Response, sent bool, err error) {
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
		if echoHeader == "" || response.Header.Get(echoHeader) == cmp.Or(r.Echo, r.Header.Get(echoHeader)) {
			c.bytesLeft = unlimited
			return response, true, nil
		}
		// The response belongs to an earlier request on this connection. The one to this request may still follow.
		c.bytesLeft = maxStaleBodyBytes
		if _, err := io.Copy(io.Discard, response.Body); err != nil {
			return nil, true, err
		}
		if response.Close {
			return nil, true, io.ErrUnexpectedEOF
		}
	}
	return nil, true, Error.New("received %d responses to other requests", maxStaleResponses)
}

// readResponse reads the headers of the next final response. Those of informational responses before it count towards the limit.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.bytesLeft = c.maxHeaderBytes
	c.request.Method = method
	for range maxInformational + 1 {
		if !c.beginHeader() {
			return nil, ErrResponseTooLarge
		}
		if err := checkStatusLine(c.reader); err != nil {
			return nil, err
		}
		response, err := http.ReadResponse(c.reader, &c.request)
		if err != nil {
			return nil, err
		}
		if !validStatus(statusText(response.Status)) {
			return nil, ErrInvalidStatus
		}
		if response.StatusCode >= http.StatusOK {
			c.header.end()
			return response, nil
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, Error.New("unexpected status %d", response.StatusCode)
		}
	}
	return nil, ErrResponseTooLarge
}

// beginHeader starts the next header, whose beginning may have arrived together with what came before it. It returns false if
// there is no memory for it.
func (c *conn) beginHeader() bool {
	c.header.begin()
	arrived, err := c.reader.Peek(c.reader.Buffered())
	return err == nil && c.header.read(arrived)
}

// keepAliveTimeout returns the idle timeout that the receiver announces, less a margin, but at most fallback. It returns fallback
// if none is announced.
func keepAliveTimeout(header http.Header, fallback time.Duration) time.Duration {
	for param := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		value, found := strings.CutPrefix(strings.TrimSpace(param), "timeout=")
		if !found {
			continue
		}
		seconds, err := strconv.Atoi(value)
		if err != nil || seconds < 0 {
			// An invalid value is no reason to reuse the connection for longer than usual.
			return fallback
		}
		const marginDivisor = 3
		stated := time.Duration(seconds) * time.Second
		return min(fallback, stated-stated/marginDivisor)
	}
	return fallback
}
