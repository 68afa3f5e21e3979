package config_test

import (
	"encoding/json"
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
)

// fleetOf returns a snapshot with VMs "a0", "a1", ... in each of the named failure domains.
func fleetOf(perDomain int, domains ...string) *fleet.Snapshot {
	var section vm.Section
	for _, domain := range domains {
		for i := range perDomain {
			section.VMs = append(section.VMs, vm.VM{Name: fmt.Sprint(domain, i), FailureDomain: domain, Service: "s",
				PeerAddress: fmt.Sprintf("127.0.0.1:%d", len(section.VMs)+1), State: vm.Live})
		}
	}
	value, err := json.Marshal(section)
	if err != nil {
		panic(err)
	}
	snapshot, err := (&fleet.Snapshot{}).WithSection(fleet.VMs, 1, value)
	if err != nil {
		panic(err)
	}
	return snapshot
}

// Guards against nodes that choose different watchers from the same list, against leaving VMs being chosen, and against
// the loss of one watcher changing the order of the others.
func TestLeavingWatcherIsReplacedByNextRanked(t *testing.T) {
	snapshot := fleetOf(6, "a", "b", "c")
	before := config.RankWatchers(snapshot, "a", nil)
	assert.Equal(t, len(before), 6)
	first := before[0].Name
	after := config.RankWatchers(snapshot, "a", func(name string) bool { return name == first })
	assert.DeepEqual(t, after, slices.Concat(before[1:], before[:1]))
	assert.Equal(t, config.WatcherRank(after, first), -1)
	assert.Equal(t, config.WatcherRank(after, before[2].Name), 1)

	rank0 := config.RemoteWatchers(snapshot, "a", 0, nil)
	rank1 := config.RemoteWatchers(snapshot, "a", 1, nil)
	for _, domain := range []string{"b", "c"} {
		assert.Equal(t, rank0[domain][0].Name, config.RankWatchers(snapshot, domain, nil)[0].Name)
		assert.Equal(t, rank1[domain][0].Name, rank0[domain][1].Name)
	}
	assert.Equal(t, len(rank0), 2)
}
