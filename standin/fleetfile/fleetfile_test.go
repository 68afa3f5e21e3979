package fleetfile_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/standin/fleetfile"
)

func read(t *testing.T, profile string) (fleetfile.Fleet, fleetfile.Keys, *fleet.Snapshot) {
	t.Helper()
	directory := filepath.Join("..", "..", "examples", profile)
	f, keys, err := fleetfile.Read(directory)
	assert.NilError(t, err)
	snapshot := &fleet.Snapshot{}
	for _, name := range fleet.SectionNames() {
		data, err := os.ReadFile(filepath.Join(directory, string(name)+".json"))
		assert.NilError(t, err)
		snapshot, err = snapshot.WithSection(name, 1, data)
		assert.NilError(t, err, name)
	}
	return f, keys, snapshot
}

// depth returns the number of services in the chain of a call, by the published routes and the call plans.
func depth(t *testing.T, f fleetfile.Fleet, s *fleet.Snapshot, path string, once bool) int {
	t.Helper()
	r, ok := s.Route(path)
	assert.Assert(t, ok, path)
	assert.Assert(t, once || r.Class == route.Lookup, "%s: a lookup must not contain once-only operations", path)
	svc, ok := f.Service(r.Service)
	assert.Assert(t, ok, r.Service)
	deepest := 0
	for _, plan := range svc.Plans {
		if strings.HasPrefix(path, plan.Prefix) {
			for _, c := range plan.Calls {
				deepest = max(deepest, depth(t, f, s, c.Path, r.Class == route.NonIdempotent))
			}
		}
	}
	return deepest + 1
}

// Guards against example files that contradict one another or the sizes on the design page.
func TestExamplesAgree(t *testing.T) {
	for _, profile := range []string{"sablons", "hanoi"} {
		t.Run(profile, func(t *testing.T) {
			f, keys, s := read(t, profile)
			assert.Equal(t, len(s.Accounts.Accounts), 8)
			var rates float64
			for _, a := range s.Accounts.Accounts {
				rates += a.RatePerSecond
			}
			assert.Equal(t, rates, f.CapacityPerSecond)
			deepest, _ := f.Service(f.DeepestService)
			slots := float64(deepest.Slots * len(s.VMsOfService(f.DeepestService)))
			assert.Equal(t, slots/deepest.ServiceTime.MeanMs*1000, f.CapacityPerSecond)
			assert.Equal(t, len(keys.Keys), 8)
			for _, k := range keys.Keys {
				owner, ok := s.AccountByKey(k.Key)
				assert.Assert(t, ok && owner.ID == k.Account, k.Account)
			}
			assert.Equal(t, len(f.VMs), len(s.VMs.VMs))
			for _, v := range f.VMs {
				published, ok := s.VM(v.Name)
				assert.Assert(t, ok, v.Name)
				assert.Equal(t, published.FailureDomain+published.Service, v.FailureDomain+v.Service)
			}
			for _, svc := range f.Services {
				published, ok := s.Service(svc.Name)
				assert.Assert(t, ok, svc.Name)
				assert.Equal(t, published.SlotsPerTarget, svc.Slots)
				assert.Equal(t, published.ConnectionsPerTarget, svc.Connections)
			}
			assert.Equal(t, s.Presets.Presets["baseline"].Policy, preset.Off)
			operations := 0
			for _, r := range f.Load.Routes {
				chain := depth(t, f, s, r.Path, true)
				if published, _ := s.Route(r.Path); published.Class == route.NonIdempotent {
					operations++
					assert.Assert(t, chain >= 3, "%s is %d deep", r.Path, chain)
				}
			}
			assert.Equal(t, operations, 4)
			assert.Assert(t, slices.ContainsFunc(s.Routes.Routes, func(r route.Route) bool { return r.Open }))
			for _, a := range s.Accounts.Accounts {
				assert.Assert(t, !slices.Contains(a.KeyHashes, account.HashKey("")))
			}
		})
	}
}

// Guards against a misspelt key that silently keeps a default.
func TestReadYAMLIsStrict(t *testing.T) {
	file := filepath.Join(t.TempDir(), "f.yaml")
	assert.NilError(t, os.WriteFile(file, []byte("profile: x\nvmss: []\n"), 0o600))
	var f fleetfile.Fleet
	assert.ErrorContains(t, fleetfile.ReadYAML(file, &f), "vmss")
}
