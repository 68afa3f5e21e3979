package upstream_test

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that stops in the middle of the head of its answer and closes, and whose answer is delivered as a whole
// one with an empty or short body.
func TestHeadThatBreaksOffIsNoAnswer(t *testing.T) {
	var sends atomic.Value
	address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
		if _, err := http.ReadRequest(r); err == nil {
			_, _ = c.Write([]byte(sends.Load().(string)))
		}
	})
	const head = "HTTP/1.1 200 OK\r\nId: a\r\nBy: t1\r\n"
	for _, framing := range []string{
		"", "Connection: close\r\n", "Content-Length: 0\r\n", "Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n",
	} {
		whole := head + framing + "\r\n"
		for length := range len(whole) {
			sends.Store(whole[:length])
			response, err := newPool(address).Do(context.Background(), request("a"))
			assert.Assert(t, err != nil, "%q is delivered as %v", whole[:length], response)
		}
		sends.Store(whole)
		_, err := newPool(address).Do(context.Background(), request("a"))
		mustFail := strings.Contains(framing, "12") || strings.Contains(framing, "chunked")
		assert.Equal(t, err != nil, mustFail, "%q", whole)
	}
}
