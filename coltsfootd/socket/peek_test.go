package socket_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/socket"
)

// Guards against sending a request on a closed connection, and against a check that consumes the bytes it sees.
func TestPeekStateDetectsClosedConnectionWithoutConsumingBytes(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	client, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(t, err)
	server, err := listener.Accept()
	assert.NilError(t, err)
	waitForState := func(want socket.ConnState) {
		t.Helper()
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if got := socket.PeekState(server); got != want {
				return poll.Continue("state %d, want %d", got, want)
			}
			return poll.Success()
		})
	}
	waitForState(socket.Idle)
	_, err = client.Write([]byte("a"))
	assert.NilError(t, err)
	waitForState(socket.Readable)
	var buf [1]byte
	n, err := server.Read(buf[:])
	assert.NilError(t, err)
	assert.Equal(t, string(buf[:n]), "a")
	assert.NilError(t, client.Close())
	waitForState(socket.Closed)
	assert.NilError(t, server.Close())
	assert.Equal(t, socket.PeekState(server), socket.Closed)
	pipe, _ := net.Pipe()
	assert.Equal(t, socket.PeekState(pipe), socket.Unknown)
}

func BenchmarkPeekStateIdle(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	defer func() { _ = listener.Close() }()
	c, err := net.Dial("tcp", listener.Addr().String())
	assert.NilError(b, err)
	defer func() { _ = c.Close() }()
	b.ReportAllocs()
	for b.Loop() {
		if socket.PeekState(c) != socket.Idle {
			b.Fatal("the connection is not idle")
		}
	}
}
