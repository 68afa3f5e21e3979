package directory_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/looptest"
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
	return runNodeWith(t, clock.NewMonotonic(), address, incarnation, platform)
}

// manualClock shows the time that a test sets, and counts how often it is read.
type manualClock struct{ now, reads atomic.Int64 }

func (c *manualClock) Now() clock.Millis {
	c.reads.Add(1)
	return clock.Millis(c.now.Load())
}

// runNodeWith runs a node of the failure domain d.
func runNodeWith(
	t *testing.T, c clock.Clock, address string, incarnation uint64, platform directory.Platform,
) *runningNode {
	t.Helper()
	listener, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	n := &runningNode{Directory: newDirectory(c, address, incarnation, platform), address: address}
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
	first, second = looptest.FreeAddress(t), looptest.FreeAddress(t)
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
	t1, t2 := targetOf("t1", first, 1, 1, 1, vm.Live), targetOf("t2", second, 1, 2, 1, vm.Live)
	// Neither node lists the other, so that they don't meet before the message.
	older, newer := newRestorablePlatform(1, 9, t1), newRestorablePlatform(1, 9, t2)
	older.policy.Version, newer.policy.Version = 10, 12
	behind, ahead := runNode(t, first, 1, older), runNode(t, second, 2, newer)
	behind.waitForVersion(t, 10)
	ahead.waitForVersion(t, 12)
	recorder := httptest.NewRecorder()
	message := fmt.Sprintf(`{"from":%q,"incarnation":"2","policyVersion":12,"ageMs":5}`, second)
	behind.ServeSync(recorder, httptest.NewRequest(http.MethodPost, directory.SyncPath, strings.NewReader(message)))
	assert.Equal(t, recorder.Code, http.StatusOK)
	behind.waitForVersion(t, 12)
}

// A node is cut off, and the store returns from a copy when the cut heals. Guards against a node that counts the copy's policy as
// confirmed, although it has missed a newer one that others have.
func TestCopyOfTheStoreConfirmsNothingBeforeOtherNodesAreAsked(t *testing.T) {
	first, second := newAddresses(t)
	platform := newRestorablePlatform(1, 9, targetOf("t1", first, 1, 1, 1, vm.Live), targetOf("t2", second, 1, 2, 1, vm.Live))
	platform.policy.Version = 10
	// reply is the other node's reply to a sync request; it is empty while the nodes are cut off from each other.
	var reply atomic.Value
	reply.Store(`{"ageMs":-1}`)
	listener, err := net.Listen("tcp", second)
	assert.NilError(t, err)
	other := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if reply.Load() == "" {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		_, _ = fmt.Fprint(w, reply.Load())
	})}
	go func() { _ = other.Serve(listener) }() // Returns after Close.
	t.Cleanup(func() { _ = other.Close() })
	c := &manualClock{}
	c.now.Store(60_000)
	d := runNodeWith(t, c, first, 1, platform)
	d.waitForVersion(t, 10)
	setPolicyErr := func(err error) {
		platform.mu.Lock()
		defer platform.mu.Unlock()
		platform.policyErr = err
	}
	setPolicyErr(errUnreachable)
	reply.Store("")
	c.now.Add(5000)
	waitForTicks(t, &c.reads)
	assert.Assert(t, !d.Fresh())
	platform.restore(2, 9, targetOf("t1", first, 2, 1, 1, vm.Live), targetOf("t2", second, 2, 2, 1, vm.Live))
	setPolicyErr(nil)
	// The node tries the store again, and hears of the restore.
	c.now.Add(3000)
	waitForTicks(t, &c.reads)
	assert.Assert(t, !d.Fresh(), "the copy's policy is confirmed")
	reply.Store(`{"ageMs":5,"policyVersion":12,"policy":{"version":12}}`)
	c.now.Add(300)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		version := d.View().PolicyVersion
		assert.Assert(t, version == 12 || !d.Fresh(), "the copy's policy is confirmed")
		if version != 12 {
			return poll.Continue("version %d is in force", version)
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit), poll.WithDelay(time.Millisecond))
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
