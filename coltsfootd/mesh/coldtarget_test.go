package mesh_test

import (
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/core/warmup"
)

const (
	coldPerSecond = 20
	// longColdMs is a warm-up time that does not pass during a test.
	longColdMs = 600_000
)

// newColdFleet starts a fleet whose service "voids" publishes an allowance for cold targets, and waits until its targets
// are warm.
func newColdFleet(t *testing.T, services ...string) *fleet {
	t.Helper()
	f := newFleet(t, services...)
	p := testPolicy()
	p.Version++
	p.Services[0].ColdPerSecond, p.Services[0].WarmupMs = coldPerSecond, longColdMs
	f.platform.setPolicy(p)
	for i, service := range services {
		if service == "voids" {
			f.waitForWarmup(t, i, "warm after a health check", func(s warmup.State) bool {
				return !s.Cold && f.targets[i].healthChecks.Load() > 0
			})
		}
	}
	return f
}

func (f *fleet) waitForWarmup(t *testing.T, i int, want string, is func(s warmup.State) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var s warmup.State
		assert.NilError(t, json.Unmarshal([]byte(f.nodes[i].metrics.Get("targetWarmup").String()), &s))
		if !is(s) {
			return poll.Continue("target %d is not %s: %+v", i, want, s)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// restart ends all connections of the target like a crash, and makes it serve again at its address.
func (tg *fakeTarget) restart(t *testing.T) {
	t.Helper()
	tg.server.CloseClientConnections()
	_ = tg.server.Listener.Close()
	var listener net.Listener
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var err error
		if listener, err = net.Listen("tcp", tg.address); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	server := httptest.NewUnstartedServer(tg)
	_ = server.Listener.Close()
	server.Listener = listener
	server.Start()
	t.Cleanup(server.Close)
}

// sendOpen sends requests without keys at all nodes from concurrent callers until the time has passed, and returns the number of
// answers with status 200.
func (f *fleet) sendOpen(duration time.Duration) int {
	const callersPerNode = 16
	end := time.Now().Add(duration)
	var callers sync.WaitGroup
	var mu sync.Mutex
	answered := 0
	for node := range f.nodes {
		for i := range callersPerNode {
			callers.Go(func() {
				for time.Now().Before(end) {
					method, path := http.MethodGet, "/open/1"
					if i%4 == 0 {
						method, path = http.MethodPost, "/openvoids/1"
					}
					// The connection to a node that restarts fails.
					if got, err := f.trySend(node, method, path, "", ""); err == nil && got.status == http.StatusOK {
						mu.Lock()
						answered++
						mu.Unlock()
					}
				}
			})
		}
	}
	callers.Wait()
	return answered
}

// checkAllowance fails if the target got more since the given count and time than it tolerates.
func (tg *fakeTarget) checkAllowance(t *testing.T, before int64, since time.Time) {
	t.Helper()
	got, elapsed := float64(tg.runs.Load()-before), time.Since(since).Seconds()
	assert.Assert(t, got <= coldPerSecond*1.5*elapsed+8, "%s got %v requests in %v s", tg.id, got, elapsed)
	assert.Assert(t, got >= 1, "%s got nothing", tg.id)
}

// Guards against a target that crashes again and again because it gets its usual load right after it has come back: whether the
// store works or not, whether one target or all of them come back, and whether the node beside it restarts meanwhile. Load: three
// nodes with 16 callers each, hundreds of times the allowance.
func TestColdTargetGetsNoMoreThanItTolerates(t *testing.T) {
	for _, c := range []struct {
		name        string
		restarted   int
		storeDown   bool
		restartNode bool
	}{
		{"one target", 1, false, false}, {"without the store", 1, true, false}, {"whole service", 2, false, false},
		{"node restarts too", 1, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newColdFleet(t, "voids", "voids", "riders")
			f.platform.unavailable.Store(c.storeDown)
			assert.Assert(t, f.sendOpen(300*time.Millisecond) > 0)
			var before []int64
			for _, tg := range f.targets[:c.restarted] {
				tg.coldMs.Store(longColdMs)
				before = append(before, tg.runs.Load())
			}
			// The count of the first target starts before its crash, when it is warm; nothing is sent then.
			start := time.Now()
			for _, tg := range f.targets[:c.restarted] {
				tg.restart(t)
			}
			if c.restartNode {
				others := &fleet{nodes: slices.Clone(f.nodes[1:]), client: f.client}
				var load sync.WaitGroup
				load.Go(func() { others.sendOpen(5 * time.Second) })
				f.restart(t, 0)
				load.Wait()
			}
			answered := f.sendOpen(2 * time.Second)
			for i, tg := range f.targets[:c.restarted] {
				tg.checkAllowance(t, before[i], start)
				f.waitForWarmup(t, i, "cold", func(s warmup.State) bool { return s.Cold })
			}
			if c.restarted == 1 {
				assert.Assert(t, answered > 10*coldPerSecond, "%d answers although a target is warm", answered)
			}
			for _, tg := range f.targets {
				tg.coldMs.Store(0)
			}
		})
	}
}

// Guards against a healthy service that is slowed down by a restart of its nodes, and against health checks in steady state.
// Load: 16 callers at each node.
func TestRestartOfAllNodesBesideWarmTargets(t *testing.T) {
	f := newColdFleet(t, "voids", "voids")
	for i := range f.nodes {
		f.restart(t, i)
		f.waitForWarmup(t, i, "warm without a ramp", func(s warmup.State) bool { return !s.Cold && !s.Ramping })
	}
	checks := f.targets[0].healthChecks.Load()
	assert.Assert(t, f.sendOpen(2*time.Second) > 20*coldPerSecond)
	assert.Equal(t, f.targets[0].healthChecks.Load(), checks)
}

// Guards against other decisions for a service that publishes no allowance. Load: as above, at a target that restarts cold.
func TestRestartedTargetOfAServiceWithoutAllowanceIsNotLimited(t *testing.T) {
	f := newFleet(t, "voids", "riders")
	f.targets[0].coldMs.Store(longColdMs)
	f.platform.updateTarget(0, func(v *vm.VM) { v.StartedMs, v.ColdMs = 2000, longColdMs })
	f.targets[0].restart(t)
	assert.Assert(t, f.sendOpen(2*time.Second) > 20*coldPerSecond)
	assert.Equal(t, f.targets[0].healthChecks.Load(), int64(0))
	assert.Equal(t, f.nodes[0].metrics.Get("targetRequestsWithdrawn").String(), "0")
}
