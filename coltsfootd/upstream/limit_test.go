package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/coltsfootd/upstream"
)

// serveEndless writes the beginning and then repeats the chunk until the client closes the connection.
func serveEndless(t *testing.T, beginning, chunk string) string {
	t.Helper()
	return serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, err := io.WriteString(c, beginning)
		block := strings.Repeat(chunk, 1+(64<<10)/len(chunk))
		for err == nil {
			_, err = io.WriteString(c, block)
		}
	})
}

// endlessResponses are responses that do not end, each with its beginning and the bytes that are repeated after it.
var endlessResponses = map[string]struct{ beginning, chunk string }{
	"header":        {"HTTP/1.1 200 OK\r\nId: 1\r\nLong: ", "aaaaaaaaaaaaaaaa"},
	"headers":       {"HTTP/1.1 200 OK\r\nId: 1\r\n", "Name: value\r\n"},
	"status line":   {"HTTP/1.1 200 ", "OK OK OK OK"},
	"no response":   {"", "x"},
	"informational": {"", "HTTP/1.1 102 Processing\r\n\r\n"},
	"other body":    {"HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "some bytes"},
	"other chunks":  {"HTTP/1.1 200 OK\r\nId: other\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nbytes\r\n"},
	"others":        {"", "HTTP/1.1 200 OK\r\nId: other\r\nContent-Length: 5\r\n\r\nbytes"},
	"extension":     {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;", "ext=1;"},
	"trailer":       {"HTTP/1.1 200 OK\r\nId: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "T: v\r\n"},
}

// Guards against a target that exhausts the memory of the process with an endless response: the request must end, as one that may
// have run, without the bytes being kept.
func TestEndlessResponseFailsTheRequest(t *testing.T) {
	for name, response := range endlessResponses {
		t.Run(name, func(t *testing.T) {
			pool := newPool(serveEndless(t, response.beginning, response.chunk))
			// A minute is far longer than it takes to read up to the limits. A request that ends only by this deadline has no
			// limit.
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			_, err := pool.Do(ctx, request("1"))
			var requestErr *upstream.RequestError
			assert.Assert(t, errors.As(err, &requestErr), err)
			assert.Assert(t, requestErr.Sent)
			assert.NilError(t, ctx.Err())
		})
	}
}

// Guards against a node that runs out of memory while forty targets send endless responses.
func TestMemoryIsBoundedDuringEndlessResponses(t *testing.T) {
	const (
		targets = 40
		// limitMB is half of the memory of the smallest VMs.
		limitMB = 184 / 2
	)
	var peak uint64
	done := make(chan struct{})
	var watch sync.WaitGroup
	watch.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				peak = max(peak, m.HeapInuse)
			}
		}
	})
	var group sync.WaitGroup
	for _, response := range endlessResponses {
		for range targets / len(endlessResponses) {
			pool := newPool(serveEndless(t, response.beginning, response.chunk))
			group.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				_, err := pool.Do(ctx, request("1"))
				assert.Check(t, err != nil)
			})
		}
	}
	group.Wait()
	close(done)
	watch.Wait()
	assert.Assert(t, peak < limitMB<<20, "%d bytes", peak)
}

// Guards against an endless body that is held in memory: a part is buffered, the rest is read on demand, and a reader with a
// limit stops it.
func TestEndlessBodyIsNotBufferedWhole(t *testing.T) {
	pool := newPool(serveEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "some bytes"))
	response, err := pool.Do(context.Background(), request("1"))
	assert.NilError(t, err)
	defer response.Close()
	assert.Assert(t, len(response.Body) <= 2<<10)
	_, err = response.ReadBody(1 << 20)
	assert.ErrorIs(t, err, upstream.ErrResponseTooLarge)
}

// Guards against taking a late second response to a request without an id for the response to the next request.
func TestConnectionIsNotReusedAfterResponseWithoutEchoHeader(t *testing.T) {
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		for {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 2\r\n\r\nno")
		}
	})
	pool := newPool(address)
	for range 2 {
		withoutID := &upstream.Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}}
		response, err := pool.Do(context.Background(), withoutID)
		assert.NilError(t, err)
		assert.Equal(t, response.Status, http.StatusBadRequest)
	}
	assert.Equal(t, pool.Opened(), int64(2))
}

// fixedMemory is a memory budget that counts what is reserved.
type fixedMemory struct{ limit, used int64 }

func (m *fixedMemory) TryReserve(size int64) bool {
	if m.used+size > m.limit {
		return false
	}
	m.used += size
	return true
}

func (m *fixedMemory) Return(size int64) { m.used -= size }

// Load pattern: a target sends long or endless bodies to many callers that read slowly. Guards against a node that holds the
// beginning of each of them and runs out of memory, and against short responses that fail for lack of it.
func TestLongResponsesStayWithinTheMemoryBudget(t *testing.T) {
	const responses, bufferBytes, shortBytes = 50, 64 << 10, 4 << 10
	memory := &fixedMemory{limit: 4 * bufferBytes}
	newLimitedPool := func(address string) *upstream.Pool {
		return upstream.New(address, upstream.Settings{
			DialTimeout: time.Second, AckTimeout: 2 * time.Second, IdleTimeout: time.Minute, MaxIdle: 4, EchoHeader: "Id",
			BufferBytes: bufferBytes, Memory: memory, Sockets: socket.NewBudget(1 << 10),
		})
	}
	endless := newLimitedPool(serveEndless(t, "HTTP/1.1 200 OK\r\nId: 1\r\n\r\n", "some bytes"))
	held := 0
	open := make([]*upstream.Response, 0, responses)
	for range responses {
		response, err := endless.Do(context.Background(), request("1"))
		assert.NilError(t, err)
		held += len(response.Body)
		open = append(open, response)
	}
	assert.Assert(t, held <= int(memory.limit)+responses*(shortBytes+1), "%d bytes", held)
	short := newLimitedPool(serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			writeResponse(c, "1", "short")
		}
	}))
	response, err := short.Do(context.Background(), request("1"))
	assert.NilError(t, err)
	assert.Equal(t, string(response.Body), "short")
	response.Close()
	for _, other := range open {
		other.Close()
	}
	assert.Equal(t, memory.used, int64(0))
}
