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

// maxWithdrawalDelay is the time in which a withdrawn key stops working.
const maxWithdrawalDelay = 5 * time.Second

func refusesKey(probes map[string]keyProbe) func(v *launch.VM) bool {
	return func(v *launch.VM) bool { return probes[v.Name].responseStatus() == http.StatusUnauthorized }
}

func acceptsKey(probes map[string]keyProbe) func(v *launch.VM) bool {
	return func(v *launch.VM) bool {
		status := probes[v.Name].responseStatus()
		return status != 0 && status != http.StatusUnauthorized
	}
}

// Guards against a withdrawn key that goes on working on connections that are open, at entries whose watcher cannot
// reach the platform, and at a node that slept through the withdrawal.
func TestWithdrawnKeyIsRefused(t *testing.T) {
	t.Parallel()
	f := startSablonsFleet(t, testSeed(t), nil)
	t.Run("kept-alive connections", func(t *testing.T) {
		probes := newKeyProbes(f, f.Keys.Keys[0].Key)
		assert.Assert(t, allVMs(f.VMs, acceptsKey(probes)))
		withdrawKeys(t, f, f.Keys.Keys[0].Account)
		took := awaitWithin(t, maxWithdrawalDelay, "key refused at every entry", func() bool {
			return allVMs(f.VMs, refusesKey(probes))
		})
		t.Logf("refused at every entry after %s", took)
	})
	t.Run("platform down for one watcher of each domain", func(t *testing.T) {
		probes := newKeyProbes(f, f.Keys.Keys[1].Key)
		for name, s := range nodeStatuses(t, f) {
			if s.WatcherRank == 0 {
				assert.NilError(t, f.Platform.SetBehaviour(name, platform.Behaviour{Mode: platform.Down}))
			}
		}
		defer f.Platform.ClearBehaviour("")
		assert.Assert(t, allVMs(f.VMs, acceptsKey(probes)))
		withdrawKeys(t, f, f.Keys.Keys[1].Account)
		took := awaitWithin(t, maxWithdrawalDelay, "key refused at every entry", func() bool {
			return allVMs(f.VMs, refusesKey(probes))
		})
		t.Logf("refused at every entry after %s", took)
	})
	t.Run("paused nodes", func(t *testing.T) {
		// Names of all ranks: a watcher learns from the platform, another node from its watcher.
		for rank, index := range map[int]int{0: 2, -1: 3} {
			checkWithdrawalDuringPause(t, f, rank, index)
		}
	})
}

// checkWithdrawalDuringPause stops a node of the rank, withdraws the key, and lets a request wait at the node when it wakes.
func checkWithdrawalDuringPause(t *testing.T, f *launch.Fleet, rank, index int) {
	var paused *launch.VM
	for name, s := range nodeStatuses(t, f) {
		if s.WatcherRank == rank {
			paused = f.VM(name)
		}
	}
	probes := newKeyProbes(f, f.Keys.Keys[index].Key)
	assert.Assert(t, allVMs(f.VMs, acceptsKey(probes)))
	assert.NilError(t, paused.Node.Signal(syscall.SIGSTOP))
	withdrawKeys(t, f, f.Keys.Keys[index].Account)
	var others []*launch.VM
	for _, v := range f.VMs {
		if v != paused {
			others = append(others, v)
		}
	}
	awaitWithin(t, maxWithdrawalDelay, "key refused at the other entries", func() bool { return allVMs(others, refusesKey(probes)) })
	time.Sleep(2 * time.Second) // Longer than the pause threshold.
	first := make(chan int, 1)
	go func() { first <- probes[paused.Name].responseStatus() }()
	time.Sleep(100 * time.Millisecond) // The request waits in the socket of the stopped process.
	assert.NilError(t, paused.Node.Signal(syscall.SIGCONT))
	assert.Equal(t, <-first, http.StatusUnauthorized, "the first request after the pause at %s, rank %d", paused.Name, rank)
}

// Guards against a cut-off failure domain that stops serving, that hides the age of what it knows, or that goes on
// accepting a withdrawn key after contact has returned.
func TestPartitionedDomainKeepsServingAndCatchesUp(t *testing.T) {
	t.Parallel()
	// Short watches make a section's age in normal operation small.
	f := startSablonsFleet(t, testSeed(t), map[string]any{"watchWaitMs": 1000})
	const cut = "a"
	inside, outside := vmsByDomain(f, cut, true), vmsByDomain(f, cut, false)
	probes := newKeyProbes(f, f.Keys.Keys[0].Key)
	assert.Assert(t, allVMs(f.VMs, acceptsKey(probes)))
	for _, other := range []string{"b", "c", launch.PlatformDomain} {
		f.Network.CutBoth(cut, other)
	}
	withdrawKeys(t, f, f.Keys.Keys[0].Account)
	awaitWithin(t, maxWithdrawalDelay, "key refused outside the cut", func() bool { return allVMs(outside, refusesKey(probes)) })
	const shown = int64(8000)
	awaitWithin(t, 20*time.Second, "age shown in the cut-off domain", func() bool {
		return allVMs(inside, func(v *launch.VM) bool {
			s, err := v.Status(t.Context())
			return err == nil && s.AgesMs["accounts"] > shown
		})
	})
	assert.Assert(t, allVMs(inside, acceptsKey(probes)), "a cut-off domain goes on serving")
	assert.Assert(t, allVMs(outside, func(v *launch.VM) bool {
		s, err := v.Status(t.Context())
		return err == nil && s.AgesMs["accounts"] < shown
	}), "connected nodes show a small age")
	begin := time.Now()
	f.Network.Heal()
	awaitWithin(t, maxWithdrawalDelay, "key refused after healing", func() bool { return allVMs(inside, refusesKey(probes)) })
	t.Logf("refused everywhere %s after healing began", time.Since(begin))
}
