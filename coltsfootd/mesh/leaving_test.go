package mesh_test

import (
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/core/vm"
)

// Guards against operations that wait at a target's gate, for which there is no limit but their deadline, and are sent to the
// target long after the list has shown that it leaves.
func TestWaitingRequestsAreNotSentToATargetThatLeaves(t *testing.T) {
	// The gate has 16 slots until it knows that the target has 8, so that some requests wait in any case.
	const slots, requests = 8, 24
	f := newFleet(t, "voids")
	f.targets[0].holdRequests.Store(true)
	var callers sync.WaitGroup
	statuses := make(chan int, requests)
	for range requests {
		callers.Go(func() { statuses <- f.send(t, 0, http.MethodPost, "/voids/1", "secret", "x").status })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if runs := f.targets[0].runs.Load(); runs < slots {
			return poll.Continue("%d requests run", runs)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	f.platform.updateTarget(0, func(v *vm.VM) { v.State = vm.Leaving })
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if targets := f.nodes[0].metrics.Get("targets").String(); targets != `{"leaving":1,"live":0}` {
			return poll.Continue("the node lists targets %s", targets)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	running := f.targets[0].runs.Load()
	f.targets[0].releaseRequests()
	callers.Wait()
	assert.Equal(t, f.targets[0].runs.Load(), running)
	got := map[int]int{}
	for range requests {
		got[<-statuses]++
	}
	assert.DeepEqual(t, got, map[int]int{
		http.StatusOK: int(running), http.StatusServiceUnavailable: requests - int(running),
	})
}
