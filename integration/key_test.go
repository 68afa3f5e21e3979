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

// maxWithdrawalDelay is the time after which every connected entry must refuse a withdrawn key.
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

// Guards against a withdrawn key that is still accepted on open connections, at entries whose watcher cannot reach the
// platform, or at a node that was paused during the withdrawal.
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
		// A watcher (rank 0) learns of the withdrawal from the platform, a node that is no watcher (rank -1) from a watcher.
		for rank, index := range map[int]int{0: 2, -1: 3} {
			checkWithdrawalDuringPause(t, f, rank, index)
		}
	})
}

// checkWithdrawalDuringPause pauses a node of the rank, withdraws the key, and resumes the node with a request already
// waiting.
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
	time.Sleep(2 * time.Second) // Longer than pauseThresholdMs.
	first := make(chan int, 1)
	go func() { first <- probes[paused.Name].responseStatus() }()
	time.Sleep(100 * time.Millisecond) // The request must wait in the socket of the paused process.
	assert.NilError(t, paused.Node.Signal(syscall.SIGCONT))
	assert.Equal(t, <-first, http.StatusUnauthorized, "the first request after the pause at %s, rank %d", paused.Name, rank)
}

// Guards against a partitioned failure domain that stops serving, that does not report the age of its values, or that still
// accepts a withdrawn key after the partition has healed.
func TestPartitionedDomainKeepsServingAndCatchesUp(t *testing.T) {
	t.Parallel()
	// Short watches keep the age of sections small in normal operation.
	f := startSablonsFleet(t, testSeed(t), map[string]any{"watchWaitMs": 1000})
	const partitioned = "a"
	inside, outside := vmsByDomain(f, partitioned, true), vmsByDomain(f, partitioned, false)
	probes := newKeyProbes(f, f.Keys.Keys[0].Key)
	assert.Assert(t, allVMs(f.VMs, acceptsKey(probes)))
	for _, other := range []string{"b", "c", launch.PlatformDomain} {
		f.Network.CutBoth(partitioned, other)
	}
	withdrawKeys(t, f, f.Keys.Keys[0].Account)
	awaitWithin(t, maxWithdrawalDelay, "key refused outside the partitioned domain", func() bool {
		return allVMs(outside, refusesKey(probes))
	})
	const staleAgeMs = int64(8000)
	awaitWithin(t, 20*time.Second, "age reported in the partitioned domain", func() bool {
		return allVMs(inside, func(v *launch.VM) bool {
			s, err := v.Status(t.Context())
			return err == nil && s.AgesMs["accounts"] > staleAgeMs
		})
	})
	assert.Assert(t, allVMs(inside, acceptsKey(probes)), "the partitioned domain stopped serving")
	assert.Assert(t, allVMs(outside, func(v *launch.VM) bool {
		s, err := v.Status(t.Context())
		return err == nil && s.AgesMs["accounts"] < staleAgeMs
	}), "connected nodes report a large age")
	begin := time.Now()
	f.Network.Heal()
	awaitWithin(t, maxWithdrawalDelay, "key refused after healing", func() bool { return allVMs(inside, refusesKey(probes)) })
	t.Logf("refused everywhere %s after healing began", time.Since(begin))
}
