package config

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
)

// WatchersPerDomain is the number of nodes per failure domain that watch the platform.
const WatchersPerDomain = 2

// RankWatchers returns the VMs of a failure domain in the order in which they become watchers: live VMs by rendezvous
// hash, then leaving ones. leaving reports VMs that the node knows to be leaving although the list does not say so
// yet; it may be nil.
func RankWatchers(snapshot *fleet.Snapshot, domain string, leaving func(name string) bool) []vm.VM {
	type ranked struct {
		vm      vm.VM
		leaving bool
		hash    uint64
	}
	var candidates []ranked
	for _, v := range snapshot.VMsOfDomain(domain) {
		isLeaving := v.State == vm.Leaving || leaving != nil && leaving(v.Name)
		candidates = append(candidates, ranked{v, isLeaving, xxhash.Sum64String("watcher\x00" + domain + "\x00" + v.Name)})
	}
	slices.SortFunc(candidates, func(a, b ranked) int {
		if a.leaving != b.leaving {
			if a.leaving {
				return 1
			}
			return -1
		}
		return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.vm.Name, b.vm.Name))
	})
	vms := make([]vm.VM, len(candidates))
	for i, r := range candidates {
		vms[i] = r.vm
	}
	return vms
}

// WatcherRank returns the position of a VM among the watchers of its domain, or -1 if it is not a watcher.
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

// RemoteWatchers returns the VMs to call in each other failure domain, in order of preference. A watcher of rank r
// prefers the VM of rank r in the other domain, which spreads the load. Every domain is called directly, so that any
// two domains that can reach each other exchange versions even if a partition cuts off the others.
func RemoteWatchers(snapshot *fleet.Snapshot, domain string, rank int, leaving func(name string) bool) map[string][]vm.VM {
	remoteVMs := make(map[string][]vm.VM)
	for _, remoteDomain := range Domains(snapshot) {
		if remoteDomain == domain {
			continue
		}
		ranking := RankWatchers(snapshot, remoteDomain, leaving)
		if watcherCount := min(len(ranking), WatchersPerDomain); rank > 0 && rank < watcherCount {
			ranking[0], ranking[rank] = ranking[rank], ranking[0]
		}
		remoteVMs[remoteDomain] = ranking
	}
	return remoteVMs
}
