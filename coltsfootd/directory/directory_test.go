package directory_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/vm"
)

// waitLimit is far above what the waits in these tests need, also beside load.
const waitLimit = time.Minute

const (
	ownAddress   = "127.0.0.1:1"
	otherAddress = "127.0.0.2:1"
)

// stoppedClock always shows the same time and counts how often it is read.
type stoppedClock struct{ reads *atomic.Int64 }

func (c stoppedClock) Now() clock.Millis {
	c.reads.Add(1)
	return 1_000_000
}

// countingPlatform publishes a policy and a list, and counts the calls.
type countingPlatform struct {
	list                               []roster.Change
	noPolicy                           atomic.Bool
	policies, lists, contacts, watches atomic.Int64
}

func (s *countingPlatform) Contacts(context.Context) ([]vm.VM, error) {
	s.contacts.Add(1)
	var vms []vm.VM
	for _, c := range s.list {
		vms = append(vms, *c.VM)
	}
	return vms, nil
}

func (s *countingPlatform) Policy(context.Context) (published.Policy, error) {
	s.policies.Add(1)
	if s.noPolicy.Load() {
		return published.Policy{}, published.ErrNoPolicy
	}
	return published.Policy{
		Version:  1,
		Routes:   []route.Route{{Prefix: "/a/", Service: "a", Class: route.Lookup}},
		Accounts: []account.Account{{ID: "x", RatePerSecond: 1, Burst: 1}},
	}, nil
}

func (s *countingPlatform) Targets(context.Context) (roster.Delta, []error, error) {
	s.lists.Add(1)
	return roster.Delta{Revision: 1, Full: true, Changes: s.list}, nil, nil
}

func (s *countingPlatform) WatchTargets(ctx context.Context, _ int64, _ clock.Millis) (roster.Delta, []error, error) {
	s.watches.Add(1)
	<-ctx.Done()
	return roster.Delta{}, nil, ctx.Err()
}

func (s *countingPlatform) WatchPolicy(ctx context.Context, _ int64, _ clock.Millis) (*published.Policy, int64, error) {
	<-ctx.Done()
	return nil, 0, ctx.Err()
}

func listedTarget(name, address string) roster.Change {
	return roster.Change{Name: name, Revision: 1, VM: &vm.VM{
		Name: name, FailureDomain: "d", Service: "a", PeerAddress: address, State: vm.Live, Slots: 1,
	}}
}

// startDirectory runs a directory in the failure domain d and returns it with the counter of its clock.
func startDirectory(t *testing.T, source directory.Platform) (*directory.Directory, *atomic.Int64) {
	t.Helper()
	return startDirectoryAt(t, ownAddress, 1, source)
}

// startDirectoryAt runs the directory of an incarnation of the node at the address.
func startDirectoryAt(
	t *testing.T, address string, incarnation uint64, source directory.Platform,
) (*directory.Directory, *atomic.Int64) {
	t.Helper()
	reads := new(atomic.Int64)
	c := stoppedClock{reads: reads}
	d := directory.New(directory.Config{
		Address: address, FailureDomain: "d", Incarnation: incarnation, LeaseMs: 1000, Clock: c, Platform: source,
		Peers: peers.New("127.0.0.1", c, socket.NewBudget(1000), log.NewNopLogger()), Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.Run(ctx)
	return d, reads
}

// peerServer is another node of the same failure domain that answers questions.
type peerServer struct {
	address string
	// refuseSync makes it refuse all questions.
	refuseSync atomic.Bool
}

func newPeerServer(t *testing.T, source *countingPlatform) *peerServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := listener.Addr().String()
	source.list = []roster.Change{listedTarget("t2", address)}
	d, _ := startDirectoryAt(t, address, 2, source)
	waitForView(t, d)
	mux := http.NewServeMux()
	own := &peerServer{address: address}
	mux.HandleFunc("POST "+directory.SyncPath, func(w http.ResponseWriter, r *http.Request) {
		if own.refuseSync.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		d.ServeSync(w, r)
	})
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(listener) }()
	t.Cleanup(func() { _ = s.Close() })
	return own
}

// waitForTicks waits until the directory has looked at its clock many times.
func waitForTicks(t *testing.T, reads *atomic.Int64) {
	t.Helper()
	const ticks = 20
	end := reads.Load() + ticks
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if reads.Load() < end {
			return poll.Continue("the directory has not ticked often enough")
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit))
}

func waitForView(t *testing.T, d *directory.Directory) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if d.View() == nil {
			return poll.Continue("no view yet")
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit))
}

// Guards against a new fleet in which every node reads the policy and the whole list and watches all targets register, so
// that the calls to the platform grow with the square of the fleet.
func TestUnlistedNodeSyncsFromPeersInsteadOfPlatform(t *testing.T) {
	known := &countingPlatform{list: []roster.Change{listedTarget("t2", otherAddress)}}
	other := newPeerServer(t, known)
	source := &countingPlatform{list: []roster.Change{listedTarget("t2", other.address)}}
	d, reads := startDirectory(t, source)
	waitForView(t, d)
	waitForTicks(t, reads)
	assert.Equal(t, d.View().PolicyVersion, int64(1))
	assert.Equal(t, source.contacts.Load(), int64(1))
	assert.Equal(t, source.policies.Load()+source.lists.Load()+source.watches.Load(), int64(0))
}

// Load pattern: a whole fleet restarts, and each node gets the policy from another one before it could ask. Guards against
// nodes that have the policy and refuse every request until their next regular question.
func TestPushedPolicyIsConfirmedImmediately(t *testing.T) {
	known := &countingPlatform{}
	other := newPeerServer(t, known)
	other.refuseSync.Store(true)
	source := &countingPlatform{list: []roster.Change{listedTarget("t2", other.address)}}
	d, reads := startDirectory(t, source)
	waitForTicks(t, reads)
	assert.Assert(t, !d.Fresh())
	other.refuseSync.Store(false)
	list, err := json.Marshal(roster.Delta{Revision: 1, Full: true, Changes: known.list})
	assert.NilError(t, err)
	push := fmt.Sprintf(`{"from":%q,"ageMs":-1,"policy":{"version":1},"roster":%s}`, other.address, list)
	recorder := httptest.NewRecorder()
	d.ServeSync(recorder, httptest.NewRequest(http.MethodPost, directory.SyncPath, strings.NewReader(push)))
	assert.Equal(t, recorder.Code, http.StatusOK)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !d.Fresh() {
			return poll.Continue("the policy is not confirmed")
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit))
}

// Guards against a list that may be old, and is only to show other nodes, becoming the one by which requests are sent.
func TestDiscoveredNodesAreNotUsedAsTargetList(t *testing.T) {
	source := &countingPlatform{list: []roster.Change{listedTarget("t2", otherAddress)}}
	d, reads := startDirectory(t, source)
	waitForTicks(t, reads)
	assert.Equal(t, source.contacts.Load(), int64(1))
	assert.Assert(t, d.View() == nil)
}

// Guards against a failure domain that no node watches the platform for.
func TestRankZeroNodeWatchesPlatform(t *testing.T) {
	source := &countingPlatform{list: []roster.Change{listedTarget("t1", ownAddress)}}
	d, reads := startDirectory(t, source)
	waitForView(t, d)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if source.watches.Load() == 0 {
			return poll.Continue("no watch yet")
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit))
	waitForTicks(t, reads)
	assert.Equal(t, source.watches.Load(), int64(1))
}

// Guards against nodes that ask for the first policy at the pace at which failed reads are repeated.
func TestMissingPolicyIsReadAgainOnlyAfterTheRetryDelay(t *testing.T) {
	source := &countingPlatform{list: []roster.Change{listedTarget("t1", ownAddress)}}
	source.noPolicy.Store(true)
	d, reads := startDirectory(t, source)
	waitForTicks(t, reads)
	assert.Equal(t, source.policies.Load(), int64(1))
	assert.Assert(t, d.View() == nil)
}

// Guards against a stop in the first moments of a node that reads what the owner of the state is writing: the race detector
// reports it.
func TestLeavingBeforeTargetListIsKnownHasNoDataRace(t *testing.T) {
	source := &countingPlatform{list: []roster.Change{listedTarget("t2", otherAddress)}}
	d, reads := startDirectory(t, source)
	for range 100 {
		d.AnnounceLeaving()
	}
	waitForTicks(t, reads)
}
