package quotas_test

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/coltsfootd/quotas"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/quota"
)

// testAccount has a burst of one token for each node of a fleet of three.
var testAccount = account.Account{ID: "a1", RatePerSecond: 0.1, Burst: 3}

// stepClock advances by a step at each reading.
type stepClock struct{ now *atomic.Int64 }

func (c stepClock) Now() clock.Millis {
	const stepMs = 10
	return clock.Millis(c.now.Add(stepMs))
}

// testNode is a node of a fleet of limiters, with the addresses that it knows.
type testNode struct {
	address string
	limiter *quotas.Limiter
	peers   *partitionedPeers
	view    *directory.View
}

// partitionedPeers is a table of peers to which some addresses are cut off.
type partitionedPeers struct {
	*peers.Table
	cut map[string]bool
}

func (c *partitionedPeers) Reachable(address string) bool {
	return !c.cut[address] && c.Table.Reachable(address)
}

func (c *partitionedPeers) UnreachableCount() int {
	lost := 0
	for _, cut := range c.cut {
		if cut {
			lost++
		}
	}
	return lost
}

func (c *partitionedPeers) Call(ctx context.Context, address, path string, timeout time.Duration, message, reply any) error {
	if c.cut[address] {
		return errPartitioned
	}
	return c.Table.Call(ctx, address, path, timeout, message, reply)
}

var errPartitioned = errors.New("cut off")

func (m *testNode) View() *directory.View { return m.view }

// newTestNodes starts nodes that know each other and share a clock.
func newTestNodes(t *testing.T, count int) []*testNode {
	t.Helper()
	c := stepClock{new(atomic.Int64)}
	var members []*testNode
	var addresses []string
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		m := &testNode{address: listener.Addr().String()}
		m.peers = &partitionedPeers{peers.New("", c, socket.NewBudget(1000), log.NewNopLogger()), make(map[string]bool)}
		m.limiter = quotas.New(quotas.Config{Address: m.address, Clock: c, Values: m, Peers: m.peers, Logger: log.NewNopLogger()})
		mux := http.NewServeMux()
		mux.HandleFunc("POST "+quotas.DrawPath, m.limiter.ServeDraw)
		server := &http.Server{Handler: mux}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Close() })
		members = append(members, m)
		addresses = append(addresses, m.address)
	}
	for _, m := range members {
		m.view = &directory.View{
			Snapshot: fleet.NewSnapshot(1, nil, []account.Account{testAccount}, nil, nil), Ranking: quota.NewRanking(addresses),
		}
	}
	// The buckets of a new node are empty at first.
	const untilFullMs = 60_000
	c.now.Add(untilFullMs)
	return members
}

// admittedCount returns how many of the requests at the node are admitted.
func admittedCount(m *testNode, requests int) int {
	n := 0
	for range requests {
		if ok, _ := m.limiter.Admit(context.Background(), testAccount, true); ok {
			n++
		}
	}
	return n
}

// Guards against a rate that is divided among the nodes, and against one that each node grants.
func TestAllNodesDrawFromOneBucket(t *testing.T) {
	members := newTestNodes(t, 3)
	total := 0
	for _, m := range members {
		total += admittedCount(m, 2)
	}
	assert.Equal(t, total, 3)
}

// Guards against requests below the rate that are refused because two nodes see different owners: one reaches the owner,
// the other one does not.
func TestDrawIsRelayedToTheOwner(t *testing.T) {
	members := newTestNodes(t, 3)
	ranking := members[0].view.Ranking
	owner := ranking.Owner(testAccount.ID, func(string) bool { return true })
	second := ranking.Owner(testAccount.ID, func(address string) bool { return address != owner })
	for _, m := range members {
		if m.address != owner && m.address != second {
			m.peers.cut[owner] = true
			assert.Equal(t, admittedCount(m, 4), 3, "the node's own part is one token")
			return
		}
	}
}

// Guards against nodes that are cut off from each other and each grant the whole rate.
func TestPartitionedNodesUseOnlyTheirOwnShares(t *testing.T) {
	members := newTestNodes(t, 3)
	for _, m := range members {
		for _, other := range members {
			m.peers.cut[other.address] = m != other
		}
	}
	for _, m := range members {
		assert.Equal(t, admittedCount(m, 2), 1)
	}
}

// Guards against a message between nodes that ends the process or takes tokens away.
func TestMalformedDrawsAreRejected(t *testing.T) {
	m := newTestNodes(t, 1)[0]
	for _, body := range []string{
		"", "null", "[]", `{"need":-1}`, `{"need":1e400}`, `{"account":7}`, strings.Repeat("[", 4000), strings.Repeat("x", 1<<20),
	} {
		response, err := http.Post("http://"+m.address+quotas.DrawPath, "application/json", strings.NewReader(body))
		assert.NilError(t, err)
		if body != "null" {
			assert.Equal(t, response.StatusCode, http.StatusBadRequest, "%.20s", body)
		}
		assert.NilError(t, response.Body.Close())
	}
	unknown := strings.NewReader(`{"account":"none","need":1}`)
	response, err := http.Post("http://"+m.address+quotas.DrawPath, "application/json", unknown)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var reply struct{ Granted int }
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&reply))
	assert.Equal(t, reply.Granted, 0)
}
