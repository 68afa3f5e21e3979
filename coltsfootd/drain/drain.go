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

// Refusal returns a response with status 408, with which a server closes an idle connection (RFC 9110, section 15.5.9). A
// client whose request crosses with it repeats the request on another connection. The header tells the reason.
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

// Server is an HTTP server that can shut down without dropping a request.
type Server struct {
	http    *http.Server
	sockets *socket.Budget
	// Refusal is the response that is sent on idle connections when the server shuts down.
	Refusal []byte

	closeConnections atomic.Bool
	stopping         atomic.Bool
	active           atomic.Int64
	openConns        sync.WaitGroup
	// servedConns contains the connections (*conn) that net/http serves.
	servedConns sync.Map
}

type connKey struct{}

// New returns a server that shuts down srv gracefully and counts its connections in sockets. It replaces srv.Handler,
// srv.ConnContext and srv.ConnState.
func New(srv *http.Server, refusal []byte, sockets *socket.Budget) *Server {
	s := &Server{http: srv, Refusal: refusal, sockets: sockets}
	handler := srv.Handler
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*conn); ok && !c.setHandling(r) {
			panic(http.ErrAbortHandler)
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

// CallerGone reports whether the client has closed the connection on which r arrived. net/http detects this only while a
// handler runs, which is too late if the handler forwards the request at once.
func CallerGone(r *http.Request) bool {
	c, ok := r.Context().Value(connKey{}).(*conn)
	return ok && socket.PeekState(c.Conn) == socket.Closed
}

// HeaderHeld records that the header of r takes only the given number of bytes until its response is complete.
func HeaderHeld(r *http.Request, bytes int) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.observer != nil {
		c.observer.HeaderHeld(int64(bytes))
	}
}

// RequestComplete records that r was received whole and admitted, so that its connection is not closed in favour of others.
func RequestComplete(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*conn); ok && c.observer != nil {
		c.observer.RequestComplete()
	}
}

// Serve accepts connections from l. It returns http.ErrServerClosed after Shutdown.
func (s *Server) Serve(l net.Listener) error {
	return s.http.Serve(listener{Listener: l, server: s})
}

// CloseAfterAnswer makes the server close each connection after its next answer, so that clients move to other servers.
func (s *Server) CloseAfterAnswer() {
	s.closeConnections.Store(true)
}

// Active returns the number of requests that are being handled.
func (s *Server) Active() int {
	return int(s.active.Load())
}

// Shutdown closes the listener, sends the refusal on idle connections, and waits for the active requests. If ctx ends first,
// Shutdown returns its error without waiting further.
func (s *Server) Shutdown(ctx context.Context) error {
	s.closeConnections.Store(true)
	s.stopping.Store(true)
	// net/http waits 5 s for the first request on a new connection, and clients open some connections in advance.
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
