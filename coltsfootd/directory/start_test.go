package directory_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/coltsfootd/socket"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

// runningNode is a node that answers the messages of other nodes.
type runningNode struct {
	*directory.Directory
	address string
}

// runNode runs a node of the failure domain d on a real clock.
func runNode(t *testing.T, address string, incarnation uint64, platform directory.Platform) *runningNode {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	c := clock.NewMonotonic()
	n := &runningNode{address: address}
	n.Directory = directory.New(directory.Config{
		Address: n.address, FailureDomain: "d", Incarnation: incarnation, LeaseMs: 3000, Clock: c, Platform: platform,
		Peers: peers.New("127.0.0.1", c, socket.NewBudget(1000), log.NewNopLogger()), Logger: log.NewNopLogger(),
		TargetAddress: targetAddress, Target: healthyTarget{},
	})
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+directory.SyncPath, n.ServeSync)
	s := &http.Server{Handler: mux}
	go func() { _ = s.Serve(listener) }() // Returns after Close.
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(func() {
		cancel()
		_ = s.Close()
	})
	go n.Run(ctx)
	return n
}

// newAddresses returns two unused addresses; the node at the first one ranks first among them.
func newAddresses(t *testing.T) (first, second string) {
	t.Helper()
	for _, address := range []*string{&first, &second} {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = l.Close() }()
		*address = l.Addr().String()
	}
	if xxhash.Sum64String(first) > xxhash.Sum64String(second) {
		first, second = second, first
	}
	return first, second
}

func (n *runningNode) waitForVersion(t *testing.T, version int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if v := n.View(); v == nil || v.PolicyVersion != version {
			return poll.Continue("version %d is not in force", version)
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit))
}

// targetOf returns the entry of the target beside a node.
func targetOf(name string, address string, epoch, revision, report int64, state vm.State) roster.Change {
	c := listedTarget(name, address)
	c.Epoch, c.Revision = epoch, revision
	c.VM.State, c.VM.StartedMs, c.VM.Sequence = state, 1000, report
	return c
}

// The store returns from a copy that lacks the newest policy, and the node that reads for the fleet restarts before it is written
// again. Guards against a starting node that puts the copy's policy in force, or uses a target that has left since, although
// other nodes know better.
func TestStartingReaderTakesWhatOtherNodesKnowBeforeTheCopyOfTheStore(t *testing.T) {
	first, second := newAddresses(t)
	list := func(epoch, revision int64, left ...roster.Change) []roster.Change {
		return append(left, targetOf("t1", first, epoch, 1, 1, vm.Live), targetOf("t2", second, epoch, 2, 1, vm.Live))
	}
	platform := newRestorablePlatform(1, 9, list(1, 9, targetOf("left", second, 1, 3, 1, vm.Live))...)
	platform.policy.Version = 12
	witness := runNode(t, second, 2, platform)
	witness.waitForVersion(t, 12)
	platform.restore(1, 12, list(1, 12, targetOf("left", second, 1, 10, 8, vm.Leaving))...)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if left, _ := witness.View().VM("left"); left.State != vm.Leaving {
			return poll.Continue("the target is not listed as leaving")
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit))
	platform.mu.Lock()
	platform.policy.Version = 10
	platform.mu.Unlock()
	platform.restore(2, 9, list(2, 9, targetOf("left", second, 2, 3, 1, vm.Live))...)
	starting := runNode(t, first, 1, platform)
	waitForView(t, starting.Directory)
	end := time.Now().Add(2 * time.Second)
	for time.Now().Before(end) {
		v := starting.View()
		assert.Equal(t, v.PolicyVersion, int64(12))
		left, listed := v.VM("left")
		assert.Assert(t, !listed || left.State == vm.Leaving, "the target is %s", left.State)
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a node that stays at an older policy because its own reads of the store succeed, although another node tells it
// in a message that it has a newer one.
func TestNodeAsksTheSenderOfAMessageForItsNewerPolicy(t *testing.T) {
	first, second := newAddresses(t)
	list := []roster.Change{targetOf("t1", first, 1, 1, 1, vm.Live), targetOf("t2", second, 1, 2, 1, vm.Live)}
	older, newer := newRestorablePlatform(1, 9, list...), newRestorablePlatform(1, 9, list...)
	older.policy.Version, newer.policy.Version = 10, 12
	behind := runNode(t, first, 1, older)
	behind.waitForVersion(t, 10)
	ahead := runNode(t, second, 2, newer)
	ahead.waitForVersion(t, 12)
	ahead.AnnouncePresence()
	behind.waitForVersion(t, 12)
}

// Guards against a fleet that reads the store all the time while the copy of the store lacks the policy in force.
func TestPolicyMissingInTheCopyIsReadAgainOnlyAfterTheRetryDelay(t *testing.T) {
	platform := newRestorablePlatform(1, 9, targetAt(1, 9, 1, vm.Live))
	platform.policy.Version = 12
	d := startReader(t, platform)
	platform.mu.Lock()
	platform.policy.Version = 10
	platform.mu.Unlock()
	platform.restore(2, 8, targetAt(2, 8, 1, vm.Live))
	start, before := time.Now(), platform.policyReads.Load()
	time.Sleep(4 * time.Second)
	// The first rank reads every second, or at the latest after the delay of a read that found no policy.
	const shortestDelay = 500 * time.Millisecond
	allowed := int64(time.Since(start)/shortestDelay) + 1
	assert.Assert(t, platform.policyReads.Load()-before <= allowed, "%d reads", platform.policyReads.Load()-before)
	assert.Equal(t, d.View().PolicyVersion, int64(12))
}
