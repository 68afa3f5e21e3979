package drain_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/drain"
	"coltsfootusher.example/coltsfootd/socket"
)

// budget is large enough that no connection is closed for lack of file descriptors.
var budget = socket.NewBudget(1 << 10)

// Guards against a shutdown that drops a request which is arriving on a keep-alive connection. The clients send at different
// moments around the shutdown, and each must read a complete response to every request that it could send.
func TestShutdownAnswersRequestsThatAreArriving(t *testing.T) {
	const rounds, clients = 20, 50
	var answered, refused atomic.Int64
	for range rounds {
		srv := drain.New(&http.Server{
			Handler:           http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "done") }),
			ReadHeaderTimeout: time.Minute,
		}, drain.Refusal(map[string]string{"Why": "stopping"}), budget)
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() { _ = srv.Serve(listener) }()
		var group, connected sync.WaitGroup
		connected.Add(clients)
		stop := make(chan struct{})
		for i := range clients {
			group.Go(func() {
				client := newClient(t, listener.Addr().String())
				assert.Check(t, client.call() == http.StatusOK)
				connected.Done()
				<-stop
				defer client.close()
				time.Sleep(time.Duration(i) * 20 * time.Microsecond)
				switch client.call() {
				case http.StatusOK:
					answered.Add(1)
				case http.StatusRequestTimeout:
					refused.Add(1)
				default:
					t.Error("a request was sent and got no response")
				}
			})
		}
		connected.Wait()
		close(stop)
		time.Sleep(clients / 2 * 20 * time.Microsecond)
		assert.NilError(t, srv.Shutdown(t.Context()))
		group.Wait()
	}
	t.Logf("answered %d, refused as not run %d", answered.Load(), refused.Load())
}

// client is a connection that reads only after it has written, like a client whose request crosses with the shutdown of the
// server.
type client struct {
	t    *testing.T
	conn net.Conn
}

func newClient(t *testing.T, address string) client {
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	assert.Check(t, err == nil)
	return client{t, conn}
}

func (c client) close() { _ = c.conn.Close() }

// call returns the status of the response, or 0 if there was none.
func (c client) call() int {
	if _, err := io.WriteString(c.conn, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); err != nil {
		return 0
	}
	buffer := make([]byte, 1024)
	_ = c.conn.SetReadDeadline(time.Now().Add(10 * time.Second))
	n, err := c.conn.Read(buffer)
	switch text := string(buffer[:n]); {
	case strings.HasPrefix(text, "HTTP/1.1 200") && strings.Contains(text, "\r\n\r\ndone"):
		return http.StatusOK
	case strings.HasPrefix(text, "HTTP/1.1 408") && strings.Contains(text, "Why: stopping"):
		return http.StatusRequestTimeout
	default:
		c.t.Logf("read %q: %v", text, err)
		return 0
	}
}

// Guards against a shutdown that aborts an active request, and against one that ignores its deadline.
func TestShutdownWaitsForActiveRequests(t *testing.T) {
	release := make(chan struct{})
	srv := drain.New(&http.Server{
		Handler:           http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-release }),
		ReadHeaderTimeout: time.Minute,
	}, drain.Refusal(nil), budget)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = srv.Serve(listener) }()
	answered := make(chan error, 1)
	go func() {
		response, err := http.Get("http://" + listener.Addr().String())
		if err == nil {
			_ = response.Body.Close()
		}
		answered <- err
	}()
	for srv.Active() == 0 {
		time.Sleep(time.Millisecond)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, srv.Shutdown(ctx), context.DeadlineExceeded)
	close(release)
	assert.NilError(t, <-answered)
	assert.NilError(t, srv.Shutdown(t.Context()))
}

// Guards against a shutdown that waits for the first request on connections opened in advance; net/http waits 5 s.
func TestShutdownDoesNotWaitForUnusedConnections(t *testing.T) {
	srv := drain.New(&http.Server{Handler: http.NotFoundHandler(), ReadHeaderTimeout: time.Minute}, drain.Refusal(nil), budget)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = srv.Serve(listener) }()
	unused := newClient(t, listener.Addr().String())
	defer unused.close()
	used := newClient(t, listener.Addr().String())
	used.call() // The listener accepts in order, so the unused connection is accepted now.
	used.close()
	ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second)
	defer cancel()
	assert.NilError(t, srv.Shutdown(ctx))
}

// Guards against forwarding a request whose caller closed the connection while it waited in the listener's backlog.
func TestCallerGoneIsSeenBeforeTheRequestIsSentOn(t *testing.T) {
	gone := make(chan bool, 1)
	srv := drain.New(&http.Server{
		Handler:           http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { gone <- drain.CallerGone(r) }),
		ReadHeaderTimeout: time.Minute,
	}, nil, budget)
	listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	send := func() net.Conn {
		c, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", listener.Addr().String())
		assert.NilError(t, err)
		_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		assert.NilError(t, err)
		return c
	}
	assert.NilError(t, send().Close())
	go func() { _ = srv.Serve(listener) }()
	assert.Equal(t, <-gone, true)
	waiting := send()
	defer func() { _ = waiting.Close() }()
	assert.Equal(t, <-gone, false)
	assert.NilError(t, srv.Shutdown(t.Context()))
}
