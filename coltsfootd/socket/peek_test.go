package socket_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/socket"
)

// Guards against a closed connection that takes another request, and against a look that takes the bytes it sees.
func TestPeekStateDetectsClosedConnectionWithoutConsumingBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err := listener.Accept()
	assert.NilError(t, err)
	becomes := func(want socket.ConnState) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := socket.PeekState(server); got != want {
				return poll.Continue("state %d, want %d", got, want)
			}
			return poll.Success()
		})
	}
	becomes(socket.Idle)
	_, err = client.Write([]byte("a"))
	assert.NilError(t, err)
	becomes(socket.Readable)
	var one [1]byte
	n, err := server.Read(one[:])
	assert.NilError(t, err)
	assert.Equal(t, string(one[:n]), "a")
	assert.NilError(t, client.Close())
	becomes(socket.Closed)
	assert.NilError(t, server.Close())
	assert.Equal(t, socket.PeekState(server), socket.Closed)
	pipe, _ := net.Pipe()
	assert.Equal(t, socket.PeekState(pipe), socket.Unknown)
}
