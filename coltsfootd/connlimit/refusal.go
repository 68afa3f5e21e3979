package connlimit

import (
	"io"
	"time"
)

const (
	// headerTooLarge is the answer to a header that exceeds its limit.
	headerTooLarge = "HTTP/1.1 431 Request Header Fields Too Large\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
	// refusalTimeout limits the time for sending the answer and for waiting until the client closes the connection. If the server
	// closed first, the kernel would reset the connection, and the client would lose the answer.
	refusalTimeout = time.Second
)

// refuseHeader answers a header that exceeds its limit, and discards what else the client sends for a while.
func (c *Conn) refuseHeader() {
	c.listener.closed[HeaderTooLarge].Add(1)
	deadline := time.Now().Add(refusalTimeout)
	if err := c.SetDeadline(deadline); err != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, headerTooLarge); err != nil {
		return
	}
	if err := c.CloseWrite(); err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}
