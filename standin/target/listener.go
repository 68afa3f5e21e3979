package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// limitedListener closes connections beyond the limit and delays the first read of each new connection.
type limitedListener struct {
	net.Listener
	limit       int64
	connectTime time.Duration
	open        atomic.Int64
	refused     atomic.Int64
}

func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.limit {
			return &slowConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		l.refused.Add(1)
		_ = conn.Close()
	}
}

type slowConn struct {
	net.Conn
	listener  *limitedListener
	connected sync.Once
	closed    sync.Once
}

func (c *slowConn) Read(p []byte) (int, error) {
	c.connected.Do(func() { time.Sleep(c.listener.connectTime) })
	return c.Conn.Read(p)
}

func (c *slowConn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}
