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
	for name, leave := range map[string]func(f *fleet){
		"leaving": func(f *fleet) { f.platform.updateTarget(0, func(v *vm.VM) { v.State = vm.Leaving }) },
	} {
		t.Run(name, func(t *testing.T) {
			const slots, waiting = 8, 4
			f := newFleet(t, "voids")
			f.targets[0].holdRequests.Store(true)
			var callers sync.WaitGroup
			statuses := make(chan int, slots+waiting)
			for range slots + waiting {
				callers.Go(func() { statuses <- f.send(t, 0, http.MethodPost, "/voids/1", "secret", "x").status })
			}
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if runs := f.targets[0].runs.Load(); runs < slots {
					return poll.Continue("%d requests run", runs)
				}
				return poll.Success()
			}, poll.WithTimeout(30*time.Second))
			leave(f)
			poll.WaitOn(t, func(poll.LogT) poll.Result {
				if targets := f.nodes[0].metrics.Get("targets").String(); targets != `{"leaving":1,"live":0}` {
					return poll.Continue("the node lists targets %s", targets)
				}
				return poll.Success()
			}, poll.WithTimeout(30*time.Second))
			f.targets[0].releaseRequests()
			callers.Wait()
			assert.Equal(t, f.targets[0].runs.Load(), int64(slots))
			got := map[int]int{}
			for range slots + waiting {
				got[<-statuses]++
			}
			assert.DeepEqual(t, got, map[int]int{http.StatusOK: slots, http.StatusServiceUnavailable: waiting})
		})
	}
}
