package server

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/zeebo/errs"
)

// Error is the class of errors about listeners.
var Error = errs.Class("server")

const readHeaderTimeout = 10 * time.Second

// Server is an HTTP server on one listener.
type Server struct {
	http     http.Server
	listener net.Listener
	done     chan error
}

// Listen opens a TCP listener; port 0 picks a free port.
func Listen(ctx context.Context, address string) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", address)
	return listener, Error.Wrap(err)
}

// Start serves handler on listener until Stop is called.
func Start(listener net.Listener, handler http.Handler) *Server {
	s := &Server{listener: listener, done: make(chan error, 1)}
	s.http = http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() { s.done <- s.http.Serve(listener) }()
	return s
}

// Address returns the IP address and port of the listener.
func (s *Server) Address() string {
	return s.listener.Addr().String()
}

// Stop refuses new connections and waits for running requests; when ctx ends it closes their connections.
func (s *Server) Stop(ctx context.Context) error {
	if err := s.http.Shutdown(ctx); err != nil {
		return Error.Wrap(errs.Combine(err, s.http.Close()))
	}
	if err := <-s.done; !errors.Is(err, http.ErrServerClosed) {
		return Error.Wrap(err)
	}
	return nil
}

// WriteJSON sends value with the status; an error means that the client has gone.
func WriteJSON(w http.ResponseWriter, status int, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}
