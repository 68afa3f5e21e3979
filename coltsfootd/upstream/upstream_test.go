package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/coltsfootd/upstream"
)

// serveRaw accepts connections and passes each to serve with its number, starting at 0.
func serveRaw(t *testing.T, serve func(number int, c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for number := 0; ; number++ {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = c.Close() }()
				serve(number, c, bufio.NewReader(c))
			}()
		}
	}()
	return listener.Addr().String()
}

func newPool(address string) *upstream.Pool {
	return upstream.New(address, upstream.Settings{
		DialTimeout: time.Second, AckTimeout: 2 * time.Second, IdleTimeout: time.Minute, MaxIdle: 4, EchoHeader: "Id",
		BufferBytes: 1 << 10, Sockets: socket.NewBudget(1 << 10),
	})
}

func request(id string) *upstream.Request {
	return &upstream.Request{Method: http.MethodGet, URI: "/a//b?c=%2f", Host: "h", Header: http.Header{"Id": {id}}}
}

func writeResponse(c net.Conn, id, body string) {
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

// Guards against taking a late response to an earlier request on the connection for the response to the current one.
func TestLateResponseToEarlierRequestIsSkipped(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for n := 0; ; n++ {
			got, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			if n == 1 {
				writeResponse(c, "first", "again")
			}
			writeResponse(c, got.Header.Get("Id"), got.Header.Get("Id"))
		}
	})
	pool := newPool(address)
	for _, id := range []string{"first", "second"} {
		response, err := pool.Do(context.Background(), request(id))
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), id)
	}
	assert.Equal(t, pool.Opened(), int64(1))
}

// Guards against reading bytes sent after a response as the beginning of the next one.
func TestConnectionWithUnsolicitedBytesIsNotReused(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		got, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		// One write, so that the second response has arrived when the first has been read. One that arrives after the next
		// request was sent is skipped, see TestLateResponseToEarlierRequestIsSkipped.
		one := fmt.Sprintf("HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", got.Header.Get("Id"))
		_, _ = fmt.Fprint(c, one+one)
		_, _ = http.ReadRequest(r)
	})
	pool := newPool(address)
	for _, id := range []string{"1", "2", "3"} {
		response, err := pool.Do(context.Background(), request(id))
		assert.NilError(t, err)
		assert.Equal(t, string(response.Body), "ok")
	}
}

// Guards against a truncated body that looks complete, and against reporting a request as not sent that may have run.
func TestErrorTellsWhetherRequestMayHaveBeenSent(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = fmt.Fprint(c, "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 10\r\n\r\nhalf")
		}
	})
	_, err := newPool(address).Do(context.Background(), request("1"))
	var requestErr *upstream.RequestError
	assert.Assert(t, errors.As(err, &requestErr))
	assert.Assert(t, requestErr.Sent)

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	closed := listener.Addr().String()
	assert.NilError(t, listener.Close())
	_, err = newPool(closed).Do(context.Background(), request("1"))
	assert.Assert(t, errors.As(err, &requestErr))
	assert.Assert(t, !requestErr.Sent && requestErr.Unreachable)
}

// Guards against a request that continues after its caller has left.
func TestCancelledContextClosesTheConnection(t *testing.T) {
	arrived, closed := make(chan struct{}), make(chan struct{})
	address := serveRaw(t, func(_ int, _ net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		close(arrived)
		_, _ = r.ReadByte()
		close(closed)
	})
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := newPool(address).Do(ctx, request("1"))
	assert.Assert(t, errors.Is(err, context.Canceled), err)
	<-closed
}

// Guards against a path that is changed on the way.
func TestURIIsSentUnchanged(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if got, err := http.ReadRequest(r); err == nil {
			writeResponse(c, got.Header.Get("Id"), got.RequestURI)
		}
	})
	response, err := newPool(address).Do(context.Background(), request("1"))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "/a//b?c=%2f")
}

// Guards against waiting for a body that a response announces and does not have, and against a body that is cut or padded
// because of the length that is announced.
func TestBodyIsThatOfTheResponse(t *testing.T) {
	const long = 5 << 10 // More than the pools of these tests buffer.
	for name, c := range map[string]struct{ method, head, sent, want string }{
		"HEAD":         {http.MethodHead, "Content-Length: 12\r\n", "", ""},
		"not modified": {http.MethodGet, "Content-Length: 12\r\n", "", ""},
		"announced":    {http.MethodGet, "Content-Length: 4\r\n", "body", "body"},
		"empty":        {http.MethodGet, "Content-Length: 0\r\n", "", ""},
		"chunked":      {http.MethodGet, "Transfer-Encoding: chunked\r\n", "2\r\nbo\r\n2\r\ndy\r\n0\r\n\r\n", "body"},
		"long":         {http.MethodGet, "Content-Length: 5120\r\n", strings.Repeat("b", long), strings.Repeat("b", long)},
		"at the limit": {http.MethodGet, "Content-Length: 1024\r\n", strings.Repeat("b", 1024), strings.Repeat("b", 1024)},
		"above it":     {http.MethodGet, "Content-Length: 1025\r\n", strings.Repeat("b", 1025), strings.Repeat("b", 1025)},
	} {
		t.Run(name, func(t *testing.T) {
			status := "200 OK"
			if name == "not modified" {
				status = "304 Not Modified"
			}
			pool := newPool(serveRaw(t, func(_ int, conn net.Conn, r *bufio.Reader) {
				for {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 %s\r\nId: 1\r\n%s\r\n%s", status, c.head, c.sent)
				}
			}))
			for range 2 {
				r := request("1")
				r.Method = c.method
				response, err := pool.Do(t.Context(), r)
				assert.NilError(t, err)
				got, err := response.ReadBody(2 * long)
				assert.NilError(t, err)
				assert.Equal(t, string(got), c.want)
				response.Close()
			}
			wantConns := int64(1)
			if len(c.want) > 1<<10 {
				wantConns = 2
			}
			assert.Equal(t, pool.Opened(), wantConns)
		})
	}
}

// Guards against headers that are lost, repeated or changed on the way, against a value that adds headers of its own, and against
// the headers of one receiver in the request to the next one.
func TestHeadersAreSentAsGiven(t *testing.T) {
	received := make(chan http.Header, 1)
	pool := newPool(serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			got, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			received <- got.Header
			writeResponse(c, got.Header.Get("Id"), "")
		}
	}))
	given := http.Header{
		"Id": {"1"}, "Accept": {"a", "b"}, "Empty": {""}, "Claimed": {"by the caller"}, "Split": {"a\r\nInjected: b"},
	}
	for _, c := range []struct {
		extra upstream.HeaderField
		want  http.Header
	}{
		{upstream.HeaderField{}, http.Header{
			"Id": {"1"}, "Accept": {"a", "b"}, "Empty": {""}, "Claimed": {"by the caller"}, "Split": {"a  Injected: b"},
		}},
		{upstream.HeaderField{Name: "Claimed", Value: "by the node"}, http.Header{
			"Id": {"1"}, "Accept": {"a", "b"}, "Empty": {""}, "Claimed": {"by the node"}, "Split": {"a  Injected: b"},
		}},
	} {
		before := given.Clone()
		r := &upstream.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: given, Extra: c.extra}
		_, err := pool.Do(t.Context(), r)
		assert.NilError(t, err)
		assert.DeepEqual(t, <-received, c.want)
		assert.DeepEqual(t, given, before)
	}
}
