package looptest

import (
	"context"
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"
	"testing"
)

// Range of the listening ports. It lies below the ephemeral ports of the system, so that no outgoing connection takes a port
// between its choice and its use.
const (
	firstPort = 12_000
	portCount = 18_000
)

var nextPort atomic.Int64

func init() {
	nextPort.Store(rand.Int64N(portCount))
}

// FreeAddress returns a loopback address on which nothing listens.
func FreeAddress(t testing.TB) string {
	t.Helper()
	for range portCount {
		port := firstPort + nextPort.Add(1)%portCount
		listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", "127.0.0.1:"+strconv.FormatInt(port, 10))
		if err != nil {
			continue
		}
		address := listener.Addr().String()
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatal("no port is free")
	return ""
}
