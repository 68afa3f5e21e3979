package socket

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// ConnState is what a look at an idle connection shows.
type ConnState int

const (
	// Unknown is a connection that can't be looked at, because it is no TCP connection.
	Unknown ConnState = iota
	// Idle is a connection that is open and on which nothing has arrived.
	Idle
	// Readable is a connection on which bytes wait to be read.
	Readable
	// Closed is a connection that one of its ends has closed.
	Closed
)

// PeekState returns the state of a TCP connection without taking what has arrived.
func PeekState(c net.Conn) ConnState {
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
		var one [1]byte
		n, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
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
