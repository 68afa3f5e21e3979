package drain

import (
	"context"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"coltsfootusher.example/coltsfootd/socket"
)

// Refusal returns a response with status 408, with which a server ends an idle connection (RFC 9110, section
// 15.5.9): clients repeat a request that crossed with it on another connection. The header says why.
func Refusal(header map[string]string) []byte {
	const body = "the server is stopping; the request was not run\n"
	var b strings.Builder
	b.WriteString("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: text/plain; charset=utf-8\r\n")
	b.WriteString("Content-Length: " + strconv.Itoa(len(body)) + "\r\n")
	for name, value := range header {
		b.WriteString(name + ": " + value + "\r\n")
	}
	b.WriteString("\r\n" + body)
	return []byte(b.String())
}

// Server is an HTTP server that can stop without cutting a request.
type Server struct {
	http    *http.Server
	sockets *socket.Budget
	// Refusal is what idle connections are sent when the server stops.
	Refusal []byte

	closeConnections atomic.Bool
	stopping         atomic.Bool
	active           atomic.Int64
	openConns        sync.WaitGroup
	// servedConns holds the connections (*conn) that net/http serves.
	servedConns sync.Map
}

type connKey struct{}

// New returns a server that stops srv gracefully and counts its connections in sockets; it sets srv.Handler,
// srv.ConnContext and srv.ConnState.
func New(srv *http.Server, refusal []byte, sockets *socket.Budget) *Server {
	s := &Server{http: srv, Refusal: refusal, sockets: sockets}
	handler := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok {
			c.setHandling()
		}
		s.active.Add(1)
		defer s.active.Add(-1)
		if s.closeConnections.Load() {
			w.Header().Set("Connection", "close")
		}
		handler.ServeHTTP(w, r)
	})
	connContext := srv.ConnContext
	srv.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	srv.ConnState = func(c net.Conn, state http.ConnState) {
		if own, ok := c.(*conn); ok {
			own.setState(state)
		}
	}
	return s
}

// CallerGone reports whether the other end of the connection on which r came has closed it. net/http notices this only
// while a handler runs, which is too late for a request that was sent on at once.
func CallerGone(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && socket.PeekState(c.Conn) == socket.Closed
}

// Serve serves the connections of l; it returns http.ErrServerClosed after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(listener{Listener: l, server: s})
}

// CloseAfterAnswer makes the server close each connection after its next answer, so that clients move elsewhere.
func (s *Server) CloseAfterAnswer() {
	s.closeConnections.Store(true)
}

// Active returns the number of requests that are being handled.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// Shutdown closes the listener, ends the idle connections with the refusal, and waits for the requests that are
// being handled. It returns an error if ctx ends first; those requests are cut then.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeConnections.Store(true)
	s.stopping.Store(true)
	// net/http waits 5 s for the first request on a new connection; clients open some in advance.
	s.servedConns.Range(func(key, _ any) bool {
		if c, ok := key.(*conn); ok {
			c.refuseIfUnused()
		}
		return true
	})
	if err := s.http.Shutdown(ctx); err != nil {
		return err
	}
	closed := make(chan struct{})
	go func() {
		s.openConns.Wait()
		close(closed)
	}()
	select {
	case <-closed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
