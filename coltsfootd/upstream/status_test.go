package upstream_test

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/upstream"
)

// Guards against an invalid status that is taken for an informational one, so that the request waits for its timeout or a
// response that follows is delivered, and against one that is passed on. The request ends at once as one that may have run.
func TestInvalidStatusFailsTheRequest(t *testing.T) {
	const following = "HTTP/1.1 200 OK\r\nId: 1\r\nContent-Length: 2\r\n\r\nok"
	for _, status := range []string{"000", "001", "010", "099", "+20", "+99", "600", "700", "999"} {
		line := "HTTP/1.1 " + status + " X\r\n"
		for name, text := range map[string]string{
			"alone":             line + "Id: 1\r\nContent-Length: 0\r\n\r\n",
			"status line alone": line,
			"followed by a 200": line + "Id: 1\r\n\r\n" + following,
			"after a 102":       "HTTP/1.1 102 Processing\r\n\r\n" + line + "Id: 1\r\n\r\n" + following,
		} {
			t.Run(status+" "+name, func(t *testing.T) {
				t.Parallel()
				address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
					if _, err := http.ReadRequest(r); err != nil {
						return
					}
					_, _ = io.WriteString(c, text)
					_, _ = r.ReadByte() // The connection stays open until the pool closes it.
				})
				// A request that ends only by this deadline took the status for an informational one.
				ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
				defer cancel()
				response, err := newPool(address).Do(ctx, request("1"))
				assert.Assert(t, err != nil, "delivered: %+v", response)
				assert.NilError(t, ctx.Err())
				assert.ErrorIs(t, err, upstream.ErrInvalidStatus)
				var requestErr *upstream.RequestError
				assert.Assert(t, errors.As(err, &requestErr))
				assert.Assert(t, requestErr.Sent)
			})
		}
	}
}

// Guards against a check that refuses valid statuses, or status lines that were accepted before.
func TestValidStatusesAreDelivered(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 200 ": 200, "HTTP/1.0 299 X": 299, "HTTP/1.1  404 Not Found": 404,
		"HTTP/1.1 599 X": 599, "HTTP/1.1 500 600": 500, "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 201 Created": 201,
	} {
		address := serveRaw(t, func(_ int, c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err == nil {
				_, _ = io.WriteString(c, line+"\r\nId: 1\r\nContent-Length: 2\r\n\r\nok")
			}
		})
		response, err := newPool(address).Do(context.Background(), request("1"))
		assert.NilError(t, err, line)
		assert.Equal(t, response.Status, want)
		assert.Equal(t, string(response.Body), "ok")
	}
}
