package integration

import (
	"net/http"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/platform"
)

// keyBound is the time in which a withdrawn key stops working.
const keyBound = 5 * time.Second

func refuses(probes map[string]probe) func(v *launch.VM) bool {
	return func(v *launch.VM) bool { return probes[v.Name].status() == http.StatusUnauthorized }
}

func accepts(probes map[string]probe) func(v *launch.VM) bool {
	return func(v *launch.VM) bool {
		status := probes[v.Name].status()
		return status != 0 && status != http.StatusUnauthorized
	}
}

// Guards against a withdrawn key that goes on working on connections that are open, at entries whose watcher cannot
// reach the platform, and at a node that slept through the withdrawal.
func TestWithdrawnKeyStops(t *testing.T) {
	t.Parallel()
	f := start(t, seedOf(t), nil)
	t.Run("kept-alive connections", func(t *testing.T) {
		probes := newProbes(f, f.Keys.Keys[0].Key)
		assert.Assert(t, all(f.VMs, accepts(probes)))
		withdraw(t, f, f.Keys.Keys[0].Account)
		took := within(t, keyBound, "key refused at every entry", func() bool { return all(f.VMs, refuses(probes)) })
		t.Logf("refused at every entry after %s", took)
	})
	t.Run("platform down for one watcher of each domain", func(t *testing.T) {
		probes := newProbes(f, f.Keys.Keys[1].Key)
		for name, s := range statuses(t, f) {
			if s.WatcherRank == 0 {
				assert.NilError(t, f.Platform.SetBehaviour(name, platform.Behaviour{Mode: platform.Down}))
			}
		}
		defer f.Platform.ClearBehaviour("")
		assert.Assert(t, all(f.VMs, accepts(probes)))
		withdraw(t, f, f.Keys.Keys[1].Account)
		took := within(t, keyBound, "key refused at every entry", func() bool { return all(f.VMs, refuses(probes)) })
		t.Logf("refused at every entry after %s", took)
	})
	t.Run("paused nodes", func(t *testing.T) {
		// Names of all ranks: a watcher learns from the platform, another node from its watcher.
		for rank, index := range map[int]int{0: 2, -1: 3} {
			pauseOver(t, f, rank, index)
		}
	})
}

// pauseOver stops a node of the rank, withdraws the key, and lets a request wait at the node when it wakes.
func pauseOver(t *testing.T, f *launch.Fleet, rank, index int) {
	var paused *launch.VM
	for name, s := range statuses(t, f) {
		if s.WatcherRank == rank {
			paused = f.VM(name)
		}
	}
	probes := newProbes(f, f.Keys.Keys[index].Key)
	assert.Assert(t, all(f.VMs, accepts(probes)))
	assert.NilError(t, paused.Node.Signal(syscall.SIGSTOP))
	withdraw(t, f, f.Keys.Keys[index].Account)
	var others []*launch.VM
	for _, v := range f.VMs {
		if v != paused {
			others = append(others, v)
		}
	}
	within(t, keyBound, "key refused at the other entries", func() bool { return all(others, refuses(probes)) })
	time.Sleep(2 * time.Second) // Longer than the pause threshold.
	first := make(chan int, 1)
	go func() { first <- probes[paused.Name].status() }()
	time.Sleep(100 * time.Millisecond) // The request waits in the socket of the stopped process.
	assert.NilError(t, paused.Node.Signal(syscall.SIGCONT))
	assert.Equal(t, <-first, http.StatusUnauthorized, "the first request after the pause at %s, rank %d", paused.Name, rank)
}

// Guards against a cut-off failure domain that stops serving, that hides the age of what it knows, or that goes on
// accepting a withdrawn key after contact has returned.
func TestCutOffDomain(t *testing.T) {
	t.Parallel()
	// Short watches make a section's age in normal operation small.
	f := start(t, seedOf(t), map[string]any{"watchWaitMs": 1000})
	const cut = "a"
	inside, outside := inDomain(f, cut, true), inDomain(f, cut, false)
	probes := newProbes(f, f.Keys.Keys[0].Key)
	assert.Assert(t, all(f.VMs, accepts(probes)))
	for _, other := range []string{"b", "c", launch.PlatformDomain} {
		f.Network.CutBoth(cut, other)
	}
	withdraw(t, f, f.Keys.Keys[0].Account)
	within(t, keyBound, "key refused outside the cut", func() bool { return all(outside, refuses(probes)) })
	const shown = int64(8000)
	within(t, 20*time.Second, "age shown in the cut-off domain", func() bool {
		return all(inside, func(v *launch.VM) bool {
			s, err := v.Status(t.Context())
			return err == nil && s.AgesMs["accounts"] > shown
		})
	})
	assert.Assert(t, all(inside, accepts(probes)), "a cut-off domain goes on serving")
	assert.Assert(t, all(outside, func(v *launch.VM) bool {
		s, err := v.Status(t.Context())
		return err == nil && s.AgesMs["accounts"] < shown
	}), "connected nodes show a small age")
	begin := time.Now()
	f.Network.Heal()
	within(t, keyBound, "key refused after healing", func() bool { return all(inside, refuses(probes)) })
	t.Logf("refused everywhere %s after healing began", time.Since(begin))
}
