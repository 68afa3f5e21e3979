package mesh_test

import (
	"math"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/core/vm"
)

// sendFor sends lookups and operations at all nodes from concurrent callers until the time has passed.
func (f *fleet) sendFor(t *testing.T, duration time.Duration) {
	t.Helper()
	const callersPerNode = 4
	end := time.Now().Add(duration)
	var callers sync.WaitGroup
	for node := range f.nodes {
		for i := range callersPerNode {
			callers.Go(func() {
				for time.Now().Before(end) {
					if i%2 == 0 {
						f.send(t, node, http.MethodGet, "/voidlist/1", "secret", "")
					} else {
						f.send(t, node, http.MethodPost, "/voids/1", "secret", "x")
					}
				}
			})
		}
	}
	callers.Wait()
}

// Guards against a target that gets more requests than the limit that it names: the limit holds for the requests of all nodes
// and callers together. The users allow one and a half times the limit and 5 requests.
func TestTargetGetsNoMoreThanTheLimitThatItNames(t *testing.T) {
	f := newFleet(t, "voids", "voids", "riders")
	f.targets[0].limit.Store("20")
	f.targets[1].limit.Store("0")
	// Each target answers once, so that its limit is known.
	for range 4 {
		f.send(t, 0, http.MethodGet, "/voidlist/1", "secret", "")
		f.send(t, 1, http.MethodGet, "/voidlist/1", "secret", "")
	}
	first, second := f.targets[0].runs.Load(), f.targets[1].runs.Load()
	start := time.Now()
	// The target must be used up to its limit.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.sendFor(t, 2*time.Second)
		elapsed := time.Since(start).Seconds()
		limited, stopped := float64(f.targets[0].runs.Load()-first), float64(f.targets[1].runs.Load()-second)
		assert.Assert(t, limited <= 1.5*20*elapsed+5, "%v requests in %v s at a limit of 20", limited, elapsed)
		assert.Assert(t, stopped <= 5*math.Ceil(elapsed/4), "%v requests in %v s at a limit of 0", stopped, elapsed)
		if limited < 20 {
			return poll.Continue("only %v requests in %v s at a limit of 20", limited, elapsed)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	// It must be heard again once it names none.
	f.targets[1].limit.Store("")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		before := f.targets[1].runs.Load()
		f.sendFor(t, 100*time.Millisecond)
		if f.targets[1].runs.Load()-before < 10 {
			return poll.Continue("the target still gets few requests after its limit has ended")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// Guards against new requests to a target that says that it leaves while the list still shows it as live, whichever node they
// come from and whatever its later answers and health checks say, and against a target that is never used again after it has
// restarted.
func TestTargetThatSaysItLeavesGetsNoNewRequests(t *testing.T) {
	f := newFleet(t, "voids", "voids", "riders")
	f.targets[0].leaving.Store(true)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.sendFor(t, 100*time.Millisecond)
		if f.targets[0].runs.Load() == 0 {
			return poll.Continue("the target has not said yet that it leaves")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	before := f.targets[0].runs.Load()
	f.sendFor(t, time.Second)
	assert.Equal(t, f.targets[0].runs.Load(), before)
	f.targets[0].leaving.Store(false)
	// Callers' nodes leave a target out for 5 s after they have heard that it leaves.
	f.sendFor(t, 7*time.Second)
	assert.Equal(t, f.targets[0].runs.Load(), before, "the answers no longer say that the target leaves, in the same lifetime")
	f.platform.updateTarget(0, func(v *vm.VM) { v.StartedMs = 2000 })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.sendFor(t, 100*time.Millisecond)
		if f.targets[0].runs.Load() == before {
			return poll.Continue("the target gets no requests although it has restarted")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// Guards against a node beside a target that forgets the target's limit when it restarts, and lets through as many requests as
// the target has slots before the first answer names the limit again.
func TestRestartedNodeKeepsTheLimitThatOthersHaveHeard(t *testing.T) {
	f := newFleet(t, "voids", "riders")
	f.targets[0].limit.Store("0")
	assert.Equal(t, f.send(t, 1, http.MethodGet, "/voidlist/1", "secret", "").status, http.StatusOK)
	f.restart(t, 0)
	f.targets[0].holdRequests.Store(true)
	before := f.targets[0].runs.Load()
	var callers sync.WaitGroup
	for range 20 {
		callers.Go(func() { f.send(t, 1, http.MethodGet, "/short/1", "secret", "") })
	}
	callers.Wait()
	assert.Equal(t, f.statusAt(0), `{"limited":true,"startedMs":1000}`)
	got := f.targets[0].runs.Load() - before
	assert.Assert(t, got <= 2, "%d requests at once at a limit of 0", got)
}

// Guards against a node that restarts beside a target that leaves, and sends it requests of nodes that have heard that it leaves.
func TestRestartedNodeRefusesForATargetThatOthersHaveHeardLeaving(t *testing.T) {
	f := newFleet(t, "voids", "riders")
	f.targets[0].leaving.Store(true)
	assert.Equal(t, f.send(t, 1, http.MethodGet, "/voidlist/1", "secret", "").status, http.StatusOK)
	f.restart(t, 0)
	before := f.targets[0].runs.Load()
	for range 20 {
		assert.Equal(t, f.send(t, 1, http.MethodGet, "/voidlist/1", "secret", "").status, http.StatusServiceUnavailable)
	}
	assert.Equal(t, f.statusAt(0), `{"leaving":true,"startedMs":1000}`)
	assert.Equal(t, f.targets[0].runs.Load(), before)
}

// statusAt returns the status of the local target as node i publishes it in its metrics.
func (f *fleet) statusAt(i int) string {
	return f.nodes[i].metrics.Get("targetStatus").String()
}

// Guards against a malformed limit that costs the caller its answer, or that lifts the limit in force.
func TestMalformedLimitIsLeftAndTheAnswerDelivered(t *testing.T) {
	f := newFleet(t, "voids")
	f.targets[0].limit.Store("5")
	f.send(t, 0, http.MethodGet, "/voidlist/1", "secret", "")
	f.targets[0].limit.Store("many")
	f.waitForStatus(t, 0, "/voidlist/1", "secret", http.StatusOK)
	before, start := f.targets[0].runs.Load(), time.Now()
	f.sendFor(t, time.Second)
	got, elapsed := float64(f.targets[0].runs.Load()-before), time.Since(start).Seconds()
	assert.Assert(t, got <= 1.5*5*elapsed+5, "%v requests in %v s at a limit of 5", got, elapsed)
}

// Guards against requests that are refused at targets with a limit while another target of the service has room.
func TestRequestsMoveToTheTargetWithoutALimit(t *testing.T) {
	f := newFleet(t, "voids", "voids", "voids", "voids", "voids", "riders")
	for _, target := range f.targets[:4] {
		target.limit.Store("0")
	}
	const origin = 5
	for i := range 100 {
		method, path := http.MethodGet, "/voidlist/1"
		if i%2 == 0 {
			method, path = http.MethodPost, "/voids/1"
		}
		assert.Equal(t, f.send(t, origin, method, path, "secret", "").status, http.StatusOK, "request %d", i)
	}
	for _, target := range f.targets[:4] {
		assert.Assert(t, target.runs.Load() <= 5, "%d requests at a limit of 0", target.runs.Load())
	}
}
