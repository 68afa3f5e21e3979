package transport

import (
	"context"
	"expvar"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
)

// Meter counts the bytes of control traffic in both directions, including HTTP headers.
type Meter struct {
	In, Out *expvar.Int
}

// NewMeter returns a meter whose counters are published as controlBytesIn and controlBytesOut.
func NewMeter(metrics *expvar.Map) *Meter {
	m := &Meter{In: new(expvar.Int), Out: new(expvar.Int)}
	metrics.Set("controlBytesIn", m.In)
	metrics.Set("controlBytesOut", m.Out)
	return m
}

// NewMetered returns a transport like New whose connections count as control traffic.
func NewMetered(source netip.Addr, connections, idleConnections int, meter *Meter) *http.Transport {
	t := New(source, connections, idleConnections)
	dial := t.DialContext
	t.DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		counted := &countedConn{Conn: conn, meter: meter}
		counted.markControl()
		return counted, nil
	}
	return t
}

// Listener returns a listener whose connections are counted once MarkControl has been called for one of their requests.
// Peers use separate connections for calls and for control messages.
func (m *Meter) Listener(l net.Listener) net.Listener {
	return meteredListener{Listener: l, meter: m}
}

type meteredListener struct {
	net.Listener
	meter *Meter
}

func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: conn, meter: l.meter}, nil
}

type connKey struct{}

// ConnContext makes the connection available to MarkControl; use it as http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// MarkControl marks the connection of the request as carrying control messages.
func MarkControl(ctx context.Context) {
	conn, _ := ctx.Value(connKey{}).(net.Conn)
	for conn != nil {
		if counted, ok := conn.(*countedConn); ok {
			counted.markControl()
			return
		}
		inner, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = inner.NetConn()
	}
}

// countedConn adds its bytes to the meter once it is marked, including those transferred before.
type countedConn struct {
	net.Conn
	meter   *Meter
	control atomic.Bool
	in, out atomic.Int64
}

func (c *countedConn) markControl() {
	if !c.control.Swap(true) {
		c.flush()
	}
}

func (c *countedConn) flush() {
	c.meter.In.Add(c.in.Swap(0))
	c.meter.Out.Add(c.out.Swap(0))
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.in.Add(int64(n))
	if c.control.Load() {
		c.flush()
	}
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.out.Add(int64(n))
	if c.control.Load() {
		c.flush()
	}
	return n, err
}

// CloseWrite shuts down the writing side, if the connection supports that.
func (c *countedConn) CloseWrite() error {
	if closer, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return closer.CloseWrite()
	}
	return nil
}
