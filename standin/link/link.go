package link

import (
	"bytes"
	"context"
	"net"
	"sync"
	"time"
)

const (
	chunkBytes   = 32 << 10
	queuedChunks = 256
	cutPoll      = 5 * time.Millisecond
	dialTimeout  = time.Second
)

// Link forwards the connections of one listener to one server.
type Link struct {
	network  *Network
	listener net.Listener
	server   string
	domain   string

	mu    sync.Mutex
	conns map[*pair]struct{}
}

type pair struct {
	client, server net.Conn
	source         string
	closed         chan struct{}
	once           sync.Once
}

// New forwards what listen accepts to the server, which lies in the failure domain, until Close.
func New(n *Network, listen, server, domain string) (*Link, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return nil, err
	}
	l := &Link{network: n, listener: listener, server: server, domain: domain, conns: make(map[*pair]struct{})}
	n.mu.Lock()
	n.links = append(n.links, l)
	n.mu.Unlock()
	go l.accept()
	return l, nil
}

// Address returns the address at which the link listens.
func (l *Link) Address() string {
	return l.listener.Addr().String()
}

// Close stops listening and closes all connections.
func (l *Link) Close() error {
	err := l.listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		p.close()
	}
	return err
}

func (l *Link) accept() {
	for {
		client, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.serve(client)
	}
}

func (l *Link) serve(client net.Conn) {
	source := l.network.domainOf(client.RemoteAddr())
	dialer := net.Dialer{Timeout: dialTimeout}
	server, err := dialer.DialContext(context.Background(), "tcp", l.server)
	if err != nil {
		reset(client)
		return
	}
	p := &pair{client: client, server: server, source: source, closed: make(chan struct{})}
	l.mu.Lock()
	l.conns[p] = struct{}{}
	l.mu.Unlock()
	var group sync.WaitGroup
	group.Go(func() { l.copy(p, client, server, Direction{source, l.domain}) })
	group.Go(func() { l.copy(p, server, client, Direction{l.domain, source}) })
	group.Wait()
	p.close()
	l.mu.Lock()
	delete(l.conns, p)
	l.mu.Unlock()
}

type chunk struct {
	data []byte
	due  time.Time
}

// copy forwards bytes after the direction's delay and holds them back while the direction is cut.
func (l *Link) copy(p *pair, from, to net.Conn, d Direction) {
	chunks := make(chan chunk, queuedChunks)
	go func() {
		defer close(chunks)
		buffer := make([]byte, chunkBytes)
		for {
			n, err := from.Read(buffer)
			if n > 0 {
				delay, _ := l.network.state(d)
				// Messages are much shorter than the buffer, so copying them costs less than a new buffer each.
				chunks <- chunk{bytes.Clone(buffer[:n]), time.Now().Add(delay)}
			}
			if err != nil {
				return
			}
		}
	}()
	for c := range chunks {
		if !l.hold(p, c.due, d) {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			break
		}
	}
	p.endWrites(to)
	for range chunks {
		// Lets the reader finish.
	}
}

// hold waits for the due time and the end of a cut; it returns false if the connection was closed meanwhile.
func (l *Link) hold(p *pair, due time.Time, d Direction) bool {
	if wait := time.Until(due); wait > 0 {
		time.Sleep(wait)
	}
	for {
		if _, cut := l.network.state(d); !cut {
			return true
		}
		select {
		case <-p.closed:
			return false
		case <-time.After(cutPoll):
		}
	}
}

func (l *Link) resetCut(cuts map[Direction]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for p := range l.conns {
		if cuts[Direction{p.source, l.domain}] || cuts[Direction{l.domain, p.source}] {
			p.close()
		}
	}
}

func (p *pair) endWrites(to net.Conn) {
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

func (p *pair) close() {
	p.once.Do(func() {
		close(p.closed)
		reset(p.client)
		reset(p.server)
	})
}

// reset closes the connection so that the other end gets an error and not a regular end.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
