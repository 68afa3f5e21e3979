package integration

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/goccy/go-yaml"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/route"
	"coltsfootusher.example/platform/platformtest"
	"coltsfootusher.example/standin/launch"
)

// Limits of the node that the clients attack. They are low, so that a small crowd exceeds them.
const (
	attackedMemoryMB = 96
	attackedMaxFiles = 2048
	bytesPerMB       = 1_000_000
)

const (
	attackedHost    = "voids.example"
	attackedService = "voids"
	attackedKey     = "key-of-an-ordinary-caller"
	// openPrefix is the prefix of a route that needs no key.
	openPrefix = "/open/"
	keyPrefix  = "/keyed/"
	// openingTime limits the time in which a crowd sends, holdTime is the time for which it then keeps its connections.
	openingTime = 3 * time.Second
	holdTime    = 500 * time.Millisecond
	// ordinaryTimeout is the time within which the node must answer an ordinary request once the crowd has left.
	ordinaryTimeout = 60 * time.Second
)

// plainProgramDir returns the directory with programs built without the race detector, which multiplies the memory of a process.
func plainProgramDir(t *testing.T) string {
	t.Helper()
	bin := os.Getenv("COLTSFOOTUSHER_PLAIN_BIN")
	if bin == "" {
		t.Fatal("COLTSFOOTUSHER_PLAIN_BIN must be the directory with programs built without the race detector; make test sets it")
	}
	return bin
}

// runsIgnored records nothing.
type runsIgnored struct{}

func (runsIgnored) RunStarted(platformtest.Run)     {}
func (runsIgnored) InnerCallSent(platformtest.Call) {}

// attackedNode is one node with its target and the store, whose listeners a crowd of clients attacks.
type attackedNode struct {
	process   *launch.Process
	addresses map[string]string
	calls     atomic.Int64

	peakFiles atomic.Int64
}

// startAttackedNode starts a node of the program without the race detector and waits until it answers an ordinary request.
func startAttackedNode(t *testing.T) *attackedNode {
	t.Helper()
	ip := "127.0.0.1"
	address := func() string { return freeAddress(t, ip) }
	n := &attackedNode{addresses: map[string]string{
		"entry": address(), "peer": address(), "readiness": address(), "operator": address(),
	}}
	targetAddress := address()
	store := platformtest.NewStore()
	storeServer := httptest.NewServer(store)
	t.Cleanup(storeServer.Close)
	r := route.Route{
		Host: attackedHost, Prefix: keyPrefix, Service: attackedService, Class: route.Lookup, TimeoutMs: 10_000, MaxTargets: 2,
	}
	open := r
	open.Prefix, open.Open = openPrefix, true
	assert.NilError(t, store.PublishPolicy(platformtest.Policy{
		Version: 1, Routes: []route.Route{r, open}, Accounts: []platformtest.Account{{Name: "a", Keys: []string{attackedKey}}},
	}))
	entry := platformtest.Entry{
		ID: "t1", Service: attackedService, FailureDomain: "d1", Address: targetAddress, Slots: 8, Sequence: 1,
		BornMs: time.Now().UnixMilli(),
	}
	target, err := platformtest.StartTarget(entry, targetAddress, n.addresses["entry"], runsIgnored{}, platformtest.Behaviour{})
	assert.NilError(t, err)
	t.Cleanup(target.Stop)
	assert.NilError(t, store.PublishTarget(entry))
	_, operatorPort, err := net.SplitHostPort(n.addresses["operator"])
	assert.NilError(t, err)
	port, err := strconv.Atoi(operatorPort)
	assert.NilError(t, err)
	work := workDir(t)
	raw, err := yaml.Marshal(map[string]any{
		"nodeName": "attacked", "failureDomain": "d1", "service": attackedService,
		"entryAddress": n.addresses["entry"], "peerAddress": n.addresses["peer"], "readinessAddress": n.addresses["readiness"],
		"operatorPort": port, "targetAddress": targetAddress, "platformAddress": storeServer.Listener.Addr().String(),
		"memoryMB": attackedMemoryMB, "maxFiles": attackedMaxFiles,
	})
	assert.NilError(t, err)
	settings := filepath.Join(work, "settings.yaml")
	assert.NilError(t, os.WriteFile(settings, raw, 0o600))
	program := filepath.Join(plainProgramDir(t), "coltsfootd")
	n.process, err = launch.StartProcess(t.Context(), filepath.Join(work, "node.log"), program, "mesh", "--config", settings)
	assert.NilError(t, err)
	t.Cleanup(n.process.Kill)
	n.awaitAnswer(t)
	return n
}

// freeAddress returns an address on which nothing listens. Its port lies below the ephemeral ports of the system.
func freeAddress(t *testing.T, ip string) string {
	t.Helper()
	const firstPort, lastPort = 13_000, 30_000
	for range lastPort - firstPort {
		port := firstPort + nextAttackedPort.Add(1)%(lastPort-firstPort)
		listener, err := (&net.ListenConfig{}).Listen(t.Context(), "tcp", fmt.Sprintf("%s:%d", ip, port))
		if err != nil {
			continue
		}
		assert.NilError(t, listener.Close())
		return listener.Addr().String()
	}
	t.Fatal("no port is free")
	return ""
}

var nextAttackedPort atomic.Int64

func init() {
	nextAttackedPort.Store(int64(os.Getpid()))
}

// awaitAnswer waits until the node answers an ordinary request.
func (n *attackedNode) awaitAnswer(t *testing.T) {
	t.Helper()
	awaitWithin(t, ordinaryTimeout, "an ordinary request is answered", func() bool {
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		a := platformtest.Call{
			ID: fmt.Sprintf("ordinary-%d", n.calls.Add(1)), Method: http.MethodGet, URI: keyPrefix + "1", Host: attackedHost,
			Key: attackedKey, TimeoutMs: int(callerTimeout.Milliseconds()),
		}.Send(t.Context(), client, n.addresses["entry"])
		return a.Success() && a.BodyMatches
	})
}

// alive reports whether the process runs.
func (n *attackedNode) alive() bool {
	select {
	case <-n.process.Done():
		return false
	default:
		return true
	}
}

// peakMemoryBytes returns the largest resident memory that the process has had.
func (n *attackedNode) peakMemoryBytes(t *testing.T) int {
	t.Helper()
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", n.process.PID()))
	assert.NilError(t, err)
	for line := range strings.SplitSeq(string(status), "\n") {
		if value, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kilobytes, err := strconv.Atoi(strings.Fields(value)[0])
			assert.NilError(t, err)
			return kilobytes << 10
		}
	}
	t.Fatal("the status of the process does not name its peak memory")
	return 0
}

// watchFiles records the largest number of open descriptors of the process until ctx ends.
func (n *attackedNode) watchFiles(ctx context.Context) {
	for ctx.Err() == nil {
		if files, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.process.PID())); err == nil {
			n.peakFiles.Store(max(n.peakFiles.Load(), int64(len(files))))
		}
		time.Sleep(pollInterval)
	}
}

// hostileClient is one connection of a crowd.
type hostileClient struct {
	net.Conn
	ctx context.Context
}

// send writes the text and reports whether it was accepted.
func (c *hostileClient) send(text string) bool {
	_, err := io.WriteString(c.Conn, text)
	return err == nil
}

// sendEndlessly repeats the text until the connection is closed or the crowd leaves.
func (c *hostileClient) sendEndlessly(text string, pause time.Duration) {
	for c.ctx.Err() == nil && c.send(text) {
		time.Sleep(pause)
	}
}

// crowd is a number of clients that behave in the same way at one listener.
type crowd struct {
	listener string
	clients  int
	behave   func(c *hostileClient)
	// smallBuffer makes the clients announce a small receive buffer, so that responses that they don't read block the node soon.
	smallBuffer bool
}

// attack opens the connections of the crowd, waits until all clients have behaved, and closes the connections.
func (n *attackedNode) attack(t *testing.T, a crowd) {
	t.Helper()
	opening, cancel := context.WithTimeout(t.Context(), openingTime)
	defer cancel()
	watching, stopWatching := context.WithCancel(t.Context())
	defer stopWatching()
	var watcher, group sync.WaitGroup
	watcher.Go(func() { n.watchFiles(watching) })
	var mu sync.Mutex
	var conns []net.Conn
	dialing := make(chan struct{}, 64)
	for range a.clients {
		group.Go(func() {
			dialing <- struct{}{}
			c, err := (&net.Dialer{Timeout: openingTime}).DialContext(opening, "tcp", n.addresses[a.listener])
			<-dialing
			if err != nil {
				return
			}
			if a.smallBuffer {
				_ = c.(*net.TCPConn).SetReadBuffer(4 << 10)
			}
			mu.Lock()
			conns = append(conns, c)
			mu.Unlock()
			_ = c.SetWriteDeadline(time.Now().Add(openingTime))
			a.behave(&hostileClient{Conn: c, ctx: opening})
		})
	}
	group.Wait()
	time.Sleep(holdTime)
	stopWatching()
	watcher.Wait()
	mu.Lock()
	defer mu.Unlock()
	for _, c := range conns {
		_ = c.Close()
	}
}
