package drain

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	// lingerTime is how long the server waits, after it has sent the refusal, for the client to close the connection. If the
	// server closed first, the kernel could answer a late request with a reset, and the client would lose the refusal.
	lingerTime          = time.Second
	refusalWriteTimeout = time.Second
)

// requestObserver is implemented by connections that follow the requests on them.
type requestObserver interface {
	SetState(state http.ConnState)
	// RequestStarted is called when a handler starts.
	RequestStarted()
	// HeaderParsed is called then with the request. It returns false if there is no memory for its header.
	HeaderParsed(r *http.Request) bool
	// HeaderHeld is called when the header of the request takes only the given memory any more.
	HeaderHeld(bytes int64)
	// RequestComplete is called when the request has been received whole and admitted.
	RequestComplete()
}

// conn is a server connection that does not close without answering a request that may be arriving.
//
// During Shutdown, net/http closes connections on which a request may be arriving, and drops requests that it has just read.
// This connection sends the refusal before it is closed. A client that has just sent a request reads the refusal as the response
// to that request, which no handler has seen.
type conn struct {
	net.Conn
	server *Server
	// observer is the underlying connection if it follows the requests on it, else nil.
	observer requestObserver

	mu sync.Mutex
	// handling is true from the start of the handler until net/http waits for the next request.
	handling bool
	// refused is true once the refusal is being sent; data that arrives later is discarded.
	refused bool
	closed  bool
	// unused is true until the first byte arrives.
	unused bool
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return 0, io.EOF
	}
	c.unused = c.unused && n == 0
	return n, err
}

// SetReadDeadline has no effect on a refused connection, whose read deadline limits the wait for the client.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline has no effect on a refused connection.
func (c *conn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.refused {
		return nil
	}
	return c.Conn.SetWriteDeadline(t)
}

// CloseWrite closes the sending direction of the connection, if the connection supports it.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// NetConn returns the underlying connection.
func (c *conn) NetConn() net.Conn {
	return c.Conn
}

// Close closes the connection. While the server stops, Close sends the refusal first if no handler uses the connection. If a
// handler uses it, setState closes the connection later: net/http may already consider a connection idle while handling is
// still true.
func (c *conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return nil
	case !c.server.stopping.Load():
		return c.closeLocked()
	case c.handling:
		return nil // setState closes the connection.
	default:
		c.closed, c.refused = true, true
		go c.sendRefusal()
		return nil
	}
}

// closeLocked closes the connection; the mutex must be held.
func (c *conn) closeLocked() error {
	c.closed = true
	return c.closeNetConn()
}

// closeNetConn closes the underlying connection. It must be called once.
func (c *conn) closeNetConn() error {
	defer c.server.openConns.Done()
	c.server.sockets.Closed()
	return c.Conn.Close()
}

// sendRefusal sends the refusal and waits until the client has closed the connection.
func (c *conn) sendRefusal() {
	defer func() { _ = c.closeNetConn() }()
	_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	if _, err := c.Write(c.server.Refusal); err != nil {
		return
	}
	_ = c.CloseWrite()
	_ = c.Conn.SetReadDeadline(time.Now().Add(lingerTime))
	_, _ = io.Copy(io.Discard, c.Conn)
}

// refuseIfUnused sends the refusal on a connection on which nothing has arrived yet.
func (c *conn) refuseIfUnused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.unused && !c.closed {
		c.closed, c.refused = true, true
		go c.sendRefusal()
	}
}

func (c *conn) setState(state http.ConnState) {
	if c.observer != nil {
		c.observer.SetState(state)
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if state == http.StateIdle {
		c.handling = false
	}
	if state != http.StateClosed {
		return
	}
	c.server.servedConns.Delete(c)
	if !c.closed {
		_ = c.closeLocked()
	}
}

// setHandling records that a handler starts with the request. It returns false if there is no memory for it.
func (c *conn) setHandling(r *http.Request) bool {
	c.mu.Lock()
	c.handling = true
	c.mu.Unlock()
	if c.observer == nil {
		return true
	}
	c.observer.RequestStarted()
	return c.observer.HeaderParsed(r)
}

// listener wraps each accepted connection of a server in a conn.
type listener struct {
	net.Listener
	server *Server
}

func (l listener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.server.openConns.Add(1)
	l.server.sockets.Opened()
	c := &conn{Conn: accepted, server: l.server, unused: true}
	c.observer, _ = accepted.(requestObserver)
	l.server.servedConns.Store(c, true)
	return c, nil
}
