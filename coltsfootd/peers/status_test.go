package peers_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/upstream"
)

// Guards against a message that is taken from a response after an invalid status, or that waits for one until its timeout.
func TestInvalidStatusIsNoReplyToAMessage(t *testing.T) {
	for name, text := range map[string]string{
		"alone":             "HTTP/1.1 099 X\r\n\r\n",
		"followed by a 200": "HTTP/1.1 +20 X\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}",
	} {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		go func() {
			for {
				c, err := listener.Accept()
				if err != nil {
					return
				}
				go func() {
					defer func() { _ = c.Close() }()
					r := bufio.NewReader(c)
					if _, err := http.ReadRequest(r); err == nil {
						_, _ = io.WriteString(c, text)
						_, _ = io.Copy(io.Discard, r)
					}
				}()
			}
		}()
		var reply struct{}
		err = newTable(t).Call(context.Background(), listener.Addr().String(), "/message", time.Minute, struct{}{}, &reply)
		assert.ErrorIs(t, err, upstream.ErrInvalidStatus, name)
		assert.NilError(t, listener.Close())
	}
}
