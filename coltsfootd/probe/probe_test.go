package probe_test

import (
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/probe"
)

// Guards against taking a listening target for dead, and a dead one for alive.
func TestDialTellsListeningFromRefused(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.Equal(t, probe.Dial(listener.Addr().String()), probe.Listening)
	assert.NilError(t, listener.Close())
	assert.Equal(t, probe.Dial(listener.Addr().String()), probe.Refused)
	assert.Equal(t, probe.Dial("no port"), probe.Unclear)
}
