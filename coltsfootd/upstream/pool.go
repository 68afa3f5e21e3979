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

	"coltsfootusher.example/coltsfootd/memlimit"
	"coltsfootusher.example/coltsfootd/socket"
)

// Settings are the settings of a Pool.
type Settings struct {
	// LocalIP is the IP address from which connections are opened. If it is empty, the system chooses one.
	LocalIP string
	// DialTimeout limits the time for opening a connection.
	DialTimeout time.Duration
	// AckTimeout is the time after which a connection whose bytes are not acknowledged counts as broken.
	AckTimeout time.Duration
	// IdleTimeout is the time for which an idle connection may be reused.
	IdleTimeout time.Duration
	// MaxIdle is the number of idle connections to keep.
	MaxIdle int
	// EchoHeader names the request header that the receiver repeats in its response; empty if there is none.
	EchoHeader string
	// MaxResponseHeaderBytes limits the headers of a response together with the informational responses before it; 0 means 64
	// KiB.
	MaxResponseHeaderBytes int64
	// BufferBytes is the part of a response body that is buffered.
	BufferBytes int64
	// Memory limits the buffers of all responses that are in use at a time; nil means no limit.
	Memory MemoryBudget
	// Headers limits the memory of the headers of all responses that are in use at a time; nil means no limit.
	Headers *memlimit.Budget
	// Sockets counts the open connections.
	Sockets *socket.Budget
}

// MemoryBudget limits the memory of a process for one purpose.
type MemoryBudget interface {
	TryReserve(size int64) bool
	Return(size int64)
}

// unreservedBytes is the part of each body that is buffered without a reservation, so that short responses don't depend on how
// much memory long ones take.
const unreservedBytes = 4 << 10

// Pool sends requests to one address.
type Pool struct {
	address  string
	settings Settings
	dialer   net.Dialer

	mu      sync.Mutex
	idle    []*conn
	maxIdle int

	// minEpoch is the lowest epoch of requests that are sent.
	minEpoch atomic.Uint64
	// onLost is called when the receiver has closed all idle connections.
	onLost func()

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

// EchoHeader returns the name of the request header that the receiver repeats in its response, or "".
func (p *Pool) EchoHeader() string {
	return p.settings.EchoHeader
}

// Opened returns the number of connections opened so far.
func (p *Pool) Opened() int64 {
	return p.opened.Load()
}

// LastReadAt returns the time at which bytes last arrived, or the zero time if none did.
func (p *Pool) LastReadAt() time.Time {
	at := p.lastReadAt.Load()
	if at == 0 {
		return time.Time{}
	}
	return time.Unix(0, at)
}

// OnLost sets a function that is called before a connection is opened if the receiver has closed all idle ones. It must be set
// before the first request.
func (p *Pool) OnLost(f func()) {
	p.onLost = f
}

// Withdraw makes Do return ErrWithdrawn for requests of earlier epochs that have not been sent yet.
func (p *Pool) Withdraw(before uint64) {
	p.minEpoch.Store(before)
}

// Do sends the request once and returns the response. The error is always a *RequestError.
func (p *Pool) Do(ctx context.Context, r *Request) (*Response, error) {
	c, err := p.acquire(ctx, !r.NewConn)
	if err != nil {
		return nil, &RequestError{Unreachable: ctx.Err() == nil, Err: err}
	}
	if r.Epoch < p.minEpoch.Load() {
		_ = c.Close()
		return nil, &RequestError{Err: ErrWithdrawn}
	}
	reused := c.used
	c.used = true
	// When the context ends, the past deadline unblocks reads and writes. The connection is not reused then.
	stop := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	response, sent, err := c.roundTrip(ctx, r, p.settings.EchoHeader)
	if err != nil {
		stop()
		_ = c.Close()
		return nil, &RequestError{Sent: sent, Reused: reused, Err: joinContextError(ctx, err)}
	}
	held := c.takeHeader()
	result, err := p.bufferResponse(ctx, c, response, stop)
	if err != nil {
		held.Close()
		stop()
		_ = c.Close()
		_ = response.Body.Close()
		return nil, &RequestError{Sent: true, Reused: reused, Err: joinContextError(ctx, err)}
	}
	result.Reused, result.header = reused, held
	return result, nil
}

// joinContextError puts the error of the context, if it has ended, before the connection error that this caused.
func joinContextError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return errors.Join(ctx.Err(), err)
	}
	return err
}

// bufferResponse reads the beginning of the body, or all of a short one. If there is no memory for that, less is read.
func (p *Pool) bufferResponse(ctx context.Context, c *conn, response *http.Response, stop func() bool) (*Response, error) {
	result := &Response{Status: response.StatusCode, Header: response.Header, ContentLength: response.ContentLength}
	size := p.settings.BufferBytes
	if reserved := p.expectedBytes(response.ContentLength) - unreservedBytes; reserved > 0 && p.settings.Memory != nil {
		if p.settings.Memory.TryReserve(reserved) {
			result.memory, result.reserved = p.settings.Memory, reserved
		} else {
			size = unreservedBytes
		}
	}
	var err error
	if result.Body, err = readUpTo(response.Body, size+1, response.ContentLength); err != nil {
		result.Close()
		return nil, err
	}
	if int64(len(result.Body)) > size {
		result.Unbuffered = &unbufferedBody{ReadCloser: response.Body, conn: c, stop: stop}
		return result, nil
	}
	// Without the echo header, a late second response can't be told apart from the response to the next request.
	withoutEcho := p.settings.EchoHeader != "" && response.Header.Get(p.settings.EchoHeader) == ""
	if !stop() || ctx.Err() != nil || withoutEcho {
		_ = c.Close()
		return result, nil
	}
	p.release(c, response)
	return result, nil
}

// readUpTo reads at most limit bytes of a body with the announced length, which is negative if none is.
func readUpTo(body io.Reader, limit, announced int64) ([]byte, error) {
	if body == http.NoBody {
		// The response to a HEAD request announces the length of a body that it does not have.
		return nil, nil
	}
	if announced < 0 || announced >= limit {
		return io.ReadAll(io.LimitReader(body, limit))
	}
	b := make([]byte, announced)
	_, err := io.ReadFull(body, b)
	return b, err
}

// expectedBytes returns the number of bytes that are buffered of a body with the announced length, which is negative if none is.
func (p *Pool) expectedBytes(length int64) int64 {
	if length < 0 {
		return p.settings.BufferBytes
	}
	return min(length, p.settings.BufferBytes)
}

func (p *Pool) acquire(ctx context.Context, reuse bool) (*conn, error) {
	now := time.Now()
	lost := false
	for reuse {
		c := p.popIdle()
		if c == nil {
			break
		}
		if c.usable(now) {
			return c, nil
		}
		lost = lost || c.lost(now)
		_ = c.Close()
	}
	if lost && p.onLost != nil {
		p.onLost()
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

// release keeps the connection for another request if it can be reused.
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

// SetMaxIdle changes the number of idle connections to keep.
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

// unbufferedBody is the part of a large body that was not buffered. Its connection is not reused.
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

// setTCPUserTimeout makes the system abort a connection whose sent bytes stay unacknowledged for longer than the timeout.
func setTCPUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var optionErr error
	err := raw.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
	return errors.Join(err, optionErr)
}
