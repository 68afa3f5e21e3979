package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/core/vm"
)

// Nodes are the peer addresses of the listed nodes. All nodes of a fleet sort them alike, by hash, so that neighbours in the
// address range don't share a rank in each domain.
type Nodes struct {
	// All are the addresses of all failure domains, Neighbours those of the own one, with this node's own if it is listed.
	All        []string
	SameDomain []string
	// OtherDomains are those of each other domain.
	OtherDomains map[string][]string
}

// newNodes returns the nodes beside the targets, as seen from a failure domain.
func newNodes(vms []vm.VM, domain string) Nodes {
	domainOf := make(map[string]string, len(vms))
	for _, v := range vms {
		domainOf[v.PeerAddress] = v.FailureDomain
	}
	n := Nodes{OtherDomains: make(map[string][]string)}
	for address := range domainOf {
		n.All = append(n.All, address)
	}
	slices.SortFunc(n.All, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	for _, address := range n.All {
		if other := domainOf[address]; other != domain {
			n.OtherDomains[other] = append(n.OtherDomains[other], address)
			continue
		}
		n.SameDomain = append(n.SameDomain, address)
	}
	return n
}

// rank returns the place of the address among the nodes that can be used; it is the last one if the address is not listed.
func (n Nodes) rank(address string, usable func(address string) bool) int {
	rank := 0
	for _, other := range n.All {
		if other == address {
			return rank
		}
		if usable(other) {
			rank++
		}
	}
	return max(1, rank)
}

// firstUsable returns up to count of the addresses that can be used, the first ones.
func firstUsable(addresses []string, count int, usable func(address string) bool) []string {
	var chosen []string
	for _, address := range addresses {
		if len(chosen) < count && usable(address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// updateSources returns up to count nodes from which the node at the address gets news: the first ones of the fleet if it is the
// first of its domain, else the first ones of its domain.
func (n Nodes) updateSources(address string, count int, usable func(address string) bool) []string {
	from := n.SameDomain
	if n.isDomainLeader(address, usable) {
		from = n.All
	}
	return firstUsable(from, count, func(other string) bool { return other != address && usable(other) })
}

// announcementPeers returns the nodes that are told of a node's start and stop: those of its own failure domain, which send it most of
// its work, and the first ones of each other domain. The rest learns it from probes and answers: if each node told all
// others, the messages of a fleet that starts would grow with its square.
func (n Nodes) announcementPeers(count int, usable func(address string) bool) []string {
	told := slices.Clone(n.SameDomain)
	for _, other := range n.OtherDomains {
		told = append(told, firstUsable(other, count, usable)...)
	}
	return told
}

// isDomainLeader reports whether the address is the first of its failure domain, which passes news on to the others.
func (n Nodes) isDomainLeader(address string, usable func(address string) bool) bool {
	i := slices.IndexFunc(n.SameDomain, func(other string) bool { return other == address || usable(other) })
	return i >= 0 && n.SameDomain[i] == address
}
