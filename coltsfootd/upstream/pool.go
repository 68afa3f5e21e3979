package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"coltsfootusher.example/coltsfootd/socket"
)

// Settings are the settings of a pool.
type Settings struct {
	// LocalIP is the IP address from which connections are opened; empty lets the system choose.
	LocalIP string
	// DialTimeout bounds the opening of a connection.
	DialTimeout time.Duration
	// AckTimeout is the time after which a connection whose bytes are not acknowledged counts as broken.
	AckTimeout time.Duration
	// IdleTimeout is the time for which an idle connection is used again.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections that are kept.
	MaxIdle int
	// EchoHeader names the request header that the receiver repeats in its response; empty if there is none.
	EchoHeader string
	// MaxResponseHeaderBytes bounds a response head with the informational responses before it; 0 means 64 KiB.
	MaxResponseHeaderBytes int64
	// BufferBytes is the part of a response that is buffered.
	BufferBytes int64
	// Sockets counts the connections.
	Sockets *socket.Budget
}

// Pool sends requests to one address.
type Pool struct {
	address  string
	settings Settings
	dialer   net.Dialer

	mu      sync.Mutex
	idle    []*conn
	maxIdle int

	lastReadAt atomic.Int64
	opened     atomic.Int64
}

// New returns a pool of connections to the address.
func New(address string, s Settings) *Pool {
	p := &Pool{address: address, settings: s, maxIdle: s.MaxIdle}
	p.dialer = net.Dialer{
		Timeout: s.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: s.AckTimeout, Interval: s.AckTimeout, Count: 1,
		},
		ControlContext: func(_ context.Context, _, _ string, raw syscall.RawConn) error {
			return setTCPUserTimeout(raw, s.AckTimeout)
		},
	}
	if ip := net.ParseIP(s.LocalIP); ip != nil {
		p.dialer.LocalAddr = &net.TCPAddr{IP: ip}
	}
	return p
}

// Address returns the address to which the pool sends.
func (p *Pool) Address() string {
	return p.address
}

// Opened returns the number of connections that were opened.
func (p *Pool) Opened() int64 {
	return p.opened.Load()
}

// LastReadAt returns the time at which bytes last arrived; the zero time if none ever did.
func (p *Pool) LastReadAt() time.Time {
	at := p.lastReadAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// Do sends the request once and returns the response. The error is always a *Failure.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx)
	if err != nil {
		return nil, &RequestError{Unreachable: ctx.Err() == nil, Err: err}
	}
	reused := c.used
	c.used = true
	// The end of the context unblocks reads and writes; the connection is not used again then.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, sent, err := c.roundTrip(ctx, r, p.settings.EchoHeader)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &RequestError{Sent: sent, Reused: reused, Err: joinContextError(ctx, err)}
	}
	answer, err := p.bufferResponse(ctx, c, response, stop)
	if err != nil {
		stop()
		_ = c.Close()
		_ = response.Body.Close()
		return nil, &RequestError{Sent: true, Reused: reused, Err: joinContextError(ctx, err)}
	}
	return answer, nil
}

// joinContextError prefers the end of the context to the error that it made on the connection.
func joinContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), err)
	}
	return err
}

func (p *Pool) bufferResponse(ctx context.Context, c *conn, response *http.Response, stop func() bool) (*Response, error) {
	body, err := io.ReadAll(io.LimitReader(response.Body, p.settings.BufferBytes+1))
	if err != nil {
		return nil, err
	}
	answer := &Response{Status: response.StatusCode, Header: response.Header, Body: body, ContentLength: response.ContentLength}
	if int64(len(body)) > p.settings.BufferBytes {
		answer.Unbuffered = &unbufferedBody{ReadCloser: response.Body, conn: c, stop: stop}
		return answer, nil
	}
	// A late second response can't be told from the next one if neither names its request.
	unnamed := p.settings.EchoHeader != "" && response.Header.Get(p.settings.EchoHeader) == ""
	if !stop() || ctx.Err() != nil || unnamed {
		_ = c.Close()
		return answer, nil
	}
	p.release(c, response)
	return answer, nil
}

func (p *Pool) acquire(ctx context.Context) (*conn, error) {
	now := time.Now()
	for {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, nil
		}
		_ = c.Close()
	}
	opened, err := p.dialer.DialContext(ctx, "tcp", p.address)
	if err != nil {
		return nil, err
	}
	p.opened.Add(1)
	p.settings.Sockets.Opened()
	return newConn(opened, p.settings, &p.lastReadAt), nil
}

func (p *Pool) popIdle() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle[last] = nil
	p.idle = p.idle[:last]
	return c
}

// release keeps the connection for the next request if nothing speaks against it.
func (p *Pool) release(c *conn, response *http.Response) {
	if response.Close || c.reader.Buffered() > 0 {
		_ = c.Close()
		return
	}
	c.idleSince = time.Now()
	c.idleTimeout = keepAliveTimeout(response.Header, p.settings.IdleTimeout)
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle) >= p.maxIdle {
		_ = c.Close()
		return
	}
	p.idle = append(p.idle, c)
}

// SetMaxIdle changes the number of idle connections that are kept.
func (p *Pool) SetMaxIdle(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxIdle = n
}

// CloseIdle closes the idle connections.
func (p *Pool) CloseIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle {
		_ = c.Close()
	}
	p.idle = nil
}

// CloseExpired closes the connections that have been idle for too long.
func (p *Pool) CloseExpired(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[:0]
	for _, c := range p.idle {
		if now.Sub(c.idleSince) < c.idleTimeout {
			kept = append(kept, c)
			continue
		}
		_ = c.Close()
	}
	clear(p.idle[len(kept):])
	p.idle = kept
}

// unbufferedBody is the part of a large body that was not buffered. Its connection is not used again.
type unbufferedBody struct {
	io.ReadCloser
	conn *conn
	stop func() bool
}

// Close closes the connection.
func (r *unbufferedBody) Close() error {
	r.stop()
	return r.conn.Close()
}

// setTCPUserTimeout makes the system give up a connection when sent bytes stay without acknowledgement.
func setTCPUserTimeout(raw syscall.RawConn, limit time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
	})
	return errors.Join(err, failed)
}
