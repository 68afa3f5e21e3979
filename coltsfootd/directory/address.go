package directory

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/core/vm"
)

// Nodes holds the peer addresses of the listed nodes. Every node sorts them in the same order, by hash, so that nodes with
// adjacent addresses do not get the same rank in each failure domain.
type Nodes struct {
	// All holds the nodes of all failure domains, SameDomain those of this node's own failure domain. Both include this node if
	// it is listed.
	All        []string
	SameDomain []string
	// OtherDomains holds the nodes of the other failure domains by domain.
	OtherDomains map[string][]string
}

// newNodes returns the nodes on the VMs, grouped as seen from a failure domain.
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

// rank returns the position of the address among the usable nodes. An address that is not listed ranks last, and never gets rank
// 0.
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

// firstUsable returns the first usable addresses, at most count.
func firstUsable(addresses []string, count int, usable func(address string) bool) []string {
	var chosen []string
	for _, address := range addresses {
		if len(chosen) < count && usable(address) {
			chosen = append(chosen, address)
		}
	}
	return chosen
}

// updateSources returns up to count nodes that the node at the address asks for updates. A domain leader asks the first nodes of
// the fleet, any other node the first ones of its failure domain.
func (n Nodes) updateSources(address string, count int, usable func(address string) bool) []string {
	candidates := n.SameDomain
	if n.isDomainLeader(address, usable) {
		candidates = n.All
	}
	return firstUsable(candidates, count, func(other string) bool { return other != address && usable(other) })
}

// announcementPeers returns the nodes that are notified when this node starts or stops: all of its own failure domain, which send
// it most of its requests, and the first count usable nodes of each other domain. The others learn it from probes and replies. If
// each node notified all others, the number of messages in a starting fleet would grow with the square of its size.
func (n Nodes) announcementPeers(count int, usable func(address string) bool) []string {
	peers := slices.Clone(n.SameDomain)
	for _, other := range n.OtherDomains {
		peers = append(peers, firstUsable(other, count, usable)...)
	}
	return peers
}

// isDomainLeader reports whether the address is the first usable node of its failure domain, which forwards updates to the
// others.
func (n Nodes) isDomainLeader(address string, usable func(address string) bool) bool {
	i := slices.IndexFunc(n.SameDomain, func(other string) bool { return other == address || usable(other) })
	return i >= 0 && n.SameDomain[i] == address
}
