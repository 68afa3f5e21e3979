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
// target long after the list has shown that it leaves, or after its entry was removed.
func TestWaitingRequestsAreNotSentToATargetThatLeaves(t *testing.T) {
	for name, c := range map[string]struct {
		leave   func(p *fakePlatform)
		targets string
	}{
		"leaving": {
			func(p *fakePlatform) { p.updateTarget(0, func(v *vm.VM) { v.State = vm.Leaving }) }, `{"leaving":1,"live":0}`},
		"removed": {func(p *fakePlatform) { p.removeTarget(0) }, `{"leaving":0,"live":0}`},
	} {
		t.Run(name, func(t *testing.T) { testWaitingRequests(t, c.leave, c.targets) })
	}
}

func testWaitingRequests(t *testing.T, leave func(p *fakePlatform), targets string) {
	t.Helper()
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
	leave(f.platform)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.nodes[0].metrics.Get("targets").String(); got != targets {
			return poll.Continue("the node lists targets %s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	running := f.targets[0].runs.Load()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if answered := len(statuses); answered < requests-int(running) {
			return poll.Continue("%d requests that wait are refused", answered)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
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
