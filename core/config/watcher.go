package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
)

// WatchersPerDomain is the number of nodes of a failure domain that watch the platform.
const WatchersPerDomain = 2

// RankWatchers returns the VMs of a failure domain in the order in which they take the watch: live VMs by
// rendezvous hash, then leaving ones. leaving adds what the node knows beyond the list; nil means nothing.
func RankWatchers(snapshot *fleet.Snapshot, domain string, leaving func(name string) bool) []vm.VM {
	type ranked struct {
		vm      vm.VM
		leaving bool
		hash    uint64
	}
	var all []ranked
	for _, v := range snapshot.VMsOfDomain(domain) {
		out := v.State == vm.Leaving || leaving != nil && leaving(v.Name)
		all = append(all, ranked{v, out, xxhash.Sum64String("watcher\x00" + domain + "\x00" + v.Name)})
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.leaving != b.leaving {
			if a.leaving {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	vms := make([]vm.VM, len(all))
	for i, r := range all {
		vms[i] = r.vm
	}
	return vms
}

// WatcherRank returns the position of a VM among the watchers of its domain, or -1 if it is no watcher.
func WatcherRank(ranking []vm.VM, name string) int {
	return slices.IndexFunc(ranking[:min(len(ranking), WatchersPerDomain)], func(v vm.VM) bool { return v.Name == name })
}

// Domains returns the failure domains that have VMs, sorted by name.
func Domains(snapshot *fleet.Snapshot) []string {
	var domains []string
	for _, v := range snapshot.VMs.VMs {
		domains = append(domains, v.FailureDomain)
	}
	slices.Sort(domains)
	return slices.Compact(domains)
}

// RemoteWatchers returns, for each other failure domain, the VMs to ask in order. A watcher of rank r starts
// with rank r there, so that the load is shared. All domains are asked, so that any two domains that can
// reach each other exchange versions directly, whatever partition separates the rest.
func RemoteWatchers(snapshot *fleet.Snapshot, domain string, rank int, leaving func(name string) bool) map[string][]vm.VM {
	remote := make(map[string][]vm.VM)
	for _, other := range Domains(snapshot) {
		if other == domain {
			continue
		}
		ranking := RankWatchers(snapshot, other, leaving)
		if head := min(len(ranking), WatchersPerDomain); rank > 0 && rank < head {
			ranking[0], ranking[rank] = ranking[rank], ranking[0]
		}
		remote[other] = ranking
	}
	return remote
}
