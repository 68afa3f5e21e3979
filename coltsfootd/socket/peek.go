package socket

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// ConnState is the state of a connection that no request uses.
type ConnState int

const (
	// Unknown is the state of a connection that can't be inspected, because it is not a TCP connection.
	Unknown ConnState = iota
	// Idle is the state of an open connection on which nothing has arrived.
	Idle
	// Readable is the state of a connection on which bytes are waiting to be read.
	Readable
	// Closed is the state of a connection that one of its ends has closed.
	Closed
)

// PeekState returns the state of a TCP connection, which may be wrapped, without consuming the bytes that have arrived.
func PeekState(c net.Conn) ConnState {
	for {
		wrapper, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapper.NetConn()
	}
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return Unknown
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return Closed
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		// Polling tells that nothing has arrived, which is the usual state, without the allocations of Recvfrom.
		polled := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN | unix.POLLRDHUP}}
		if n, err := unix.Poll(polled, 0); err == nil && n == 0 {
			state = Idle
			return
		}
		var buf [1]byte
		n, _, err := unix.Recvfrom(int(fd), buf[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		switch {
		case errors.Is(err, unix.EAGAIN):
			state = Idle
		case err == nil && n > 0:
			state = Readable
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
