package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/core/vm"
)

// addresses returns the peer addresses listed in the own failure domain and in the others. All nodes sort them alike, by hash,
// so that neighbours in the address range don't share a rank in each domain.
func addresses(vms []vm.VM, domain string) (neighbours []string, others map[string][]string) {
	byDomain := map[string]map[string]bool{domain: {}}
	for _, v := range vms {
		if byDomain[v.FailureDomain] == nil {
			byDomain[v.FailureDomain] = make(map[string]bool)
		}
		byDomain[v.FailureDomain][v.PeerAddress] = true
	}
	others = make(map[string][]string)
	for name, set := range byDomain {
		sorted := make([]string, 0, len(set))
		for address := range set {
			sorted = append(sorted, address)
		}
		slices.SortFunc(sorted, func(a, b string) int {
			return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
		})
		if name == domain {
			neighbours = sorted
			continue
		}
		others[name] = sorted
	}
	return neighbours, others
}
