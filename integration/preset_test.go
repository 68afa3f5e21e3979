package integration

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/platform"
)

// maxPresetDelay is the time after which an accepted preset must be in force on every live, connected node.
const maxPresetDelay = 5 * time.Second

// versionHistory records the versions in force on all ready nodes and each decrease of a version, including decreases across
// restarts.
type versionHistory struct {
	mu              sync.Mutex
	highestVersions map[string]map[string]int64
	decreases       []string
	samples         int
}

func recordVersions(t *testing.T, f *launch.Fleet) *versionHistory {
	h := &versionHistory{highestVersions: make(map[string]map[string]int64)}
	ctx, cancel := context.WithCancel(t.Context())
	var group sync.WaitGroup
	// The map must be complete before the first sampler reads it.
	for _, v := range f.VMs {
		h.highestVersions[v.Name] = make(map[string]int64)
	}
	for _, v := range f.VMs {
		group.Go(func() {
			for ctx.Err() == nil {
				if s, err := v.Status(ctx); err == nil && s.Ready {
					h.recordStatus(v.Name, s)
				}
				time.Sleep(pollInterval)
			}
		})
	}
	t.Cleanup(func() {
		cancel()
		group.Wait()
		t.Logf("%d samples", h.samples)
		assert.Check(t, len(h.decreases) == 0, "versions decreased: %v", h.decreases)
	})
	return h
}

func (h *versionHistory) recordStatus(node string, s launch.Status) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.samples++
	for section, version := range s.Versions {
		if version < h.highestVersions[node][section] {
			h.decreases = append(h.decreases, node+" "+section)
		}
		h.highestVersions[node][section] = max(version, h.highestVersions[node][section])
	}
}

// activatePreset switches the preset as an operator does: it reads, changes and publishes the section, and starts over if
// another operator has published in the meantime.
func activatePreset(t *testing.T, f *launch.Fleet, name string) {
	t.Helper()
	for {
		published, _ := f.Platform.Current(string(fleet.Presets))
		section, err := preset.Decode(published.Value)
		assert.Check(t, err == nil)
		section.Active = name
		value, err := json.Marshal(section)
		assert.Check(t, err == nil)
		_, err = f.Platform.Publish(string(fleet.Presets), value, published.Version)
		if !platform.ErrConflict.Has(err) {
			assert.Check(t, err == nil)
			return
		}
	}
}

// awaitPresetInForce waits until the latest published preset is in force on every node.
func awaitPresetInForce(t *testing.T, f *launch.Fleet) {
	t.Helper()
	published, _ := f.Platform.Current(string(fleet.Presets))
	section, err := preset.Decode(published.Value)
	assert.NilError(t, err)
	took := awaitWithin(t, maxPresetDelay, "preset "+section.Active+" in force on every node", func() bool {
		return allVMs(f.VMs, func(v *launch.VM) bool {
			s, err := v.Status(t.Context())
			return err == nil && s.ActivePreset == section.Active && s.Versions["presets"] == published.Version
		})
	})
	t.Logf("%s in force on every node after %s", section.Active, took)
}

func restartNodes(t *testing.T, f *launch.Fleet, vms []*launch.VM) {
	t.Helper()
	assert.Assert(t, allVMs(vms, func(v *launch.VM) bool {
		v.Node.Kill()
		return f.StartNode(t.Context(), v) == nil
	}))
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitReady(ctx))
}

// Guards against a preset that takes effect too late or is reverted: by a stale replica, restarts, partitions or concurrent
// operators.
func TestPresetIsInForceAndNeverReverts(t *testing.T) {
	seed := testSeed(t)
	random := rand.New(rand.NewPCG(seed, 1))
	f := startSablonsFleet(t, seed, nil)
	recordVersions(t, f)
	t.Run("stale replica for one watcher of each domain", func(t *testing.T) {
		statuses := nodeStatuses(t, f)
		for _, domain := range f.File.FailureDomains {
			// The other watcher of the domain reads the newest values.
			stale := random.IntN(2)
			for _, v := range vmsByDomain(f, domain, true) {
				if statuses[v.Name].WatcherRank == stale {
					assert.NilError(t, f.Platform.SetBehaviour(v.Name, platform.Behaviour{Mode: platform.Stale}))
				}
			}
		}
		defer f.Platform.ClearBehaviour("")
		activatePreset(t, f, "peak")
		awaitPresetInForce(t, f)
	})
	t.Run("healed partition", func(t *testing.T) {
		for _, other := range []string{"a", "c", launch.PlatformDomain} {
			f.Network.CutBoth("b", other)
		}
		activatePreset(t, f, "ordinary")
		time.Sleep(time.Second)
		f.Network.Heal()
		awaitPresetInForce(t, f)
	})
	t.Run("concurrent operators", func(t *testing.T) {
		var operators sync.WaitGroup
		for _, names := range [][]string{{"peak", "ordinary"}, {"maintenance", "peak"}} {
			operators.Go(func() {
				for range 10 {
					activatePreset(t, f, names[0])
					activatePreset(t, f, names[1])
				}
			})
		}
		operators.Wait()
		awaitPresetInForce(t, f)
	})
	t.Run("restarts with a stale platform", func(t *testing.T) {
		stale := platform.Behaviour{Mode: platform.Stale, Versions: map[string]int64{string(fleet.Presets): 1}}
		assert.NilError(t, f.Platform.SetBehaviour("", stale))
		defer f.Platform.ClearBehaviour("")
		for _, v := range f.VMs {
			restartNodes(t, f, []*launch.VM{v})
		}
		awaitPresetInForce(t, f)
		restartNodes(t, f, vmsByDomain(f, "c", true))
		awaitPresetInForce(t, f)
	})
}
