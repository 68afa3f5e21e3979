package probe

import (
	"context"
	"errors"
	"net"
	"syscall"
	"time"
)

// timeout bounds one connection attempt.
const timeout = 200 * time.Millisecond

// Result is the result of a connection attempt.
type Result int

const (
	// Unclear means that the attempt neither succeeded nor was refused, for example because the host answers late.
	Unclear Result = iota
	// Listening means that the connection was accepted.
	Listening
	// Refused means that nothing listens on the address, so a process that did has died.
	Refused
)

// Dial opens a connection to the address and closes it at once.
func Dial(address string) Result {
	dialer := net.Dialer{Timeout: timeout}
	connection, err := dialer.DialContext(context.Background(), "tcp", address)
	switch {
	case err == nil:
		_ = connection.Close()
		return Listening
	case errors.Is(err, syscall.ECONNREFUSED):
		return Refused
	default:
		return Unclear
	}
}
