package quota

import "github.com/cespare/xxhash/v2"

// Ranking chooses the node that owns the bucket of an account: all nodes with the same list of nodes choose alike, and
// the accounts are spread evenly over them.
type Ranking struct {
	nodes []rankedNode
}

type rankedNode struct {
	address string
	hash    uint64
}

// NewRanking returns a ranking of the nodes at the addresses.
func NewRanking(addresses []string) *Ranking {
	r := &Ranking{nodes: make([]rankedNode, len(addresses))}
	for i, address := range addresses {
		r.nodes[i] = rankedNode{address: address, hash: xxhash.Sum64String(address)}
	}
	return r
}

// Len returns the number of nodes.
func (r *Ranking) Len() int {
	return len(r.nodes)
}

// Owner returns the first node of the account's ranking that can be reached, or "".
func (r *Ranking) Owner(accountID string, reachable func(address string) bool) string {
	account := xxhash.Sum64String(accountID)
	owner, best := "", uint64(0)
	for _, node := range r.nodes {
		weight := finalizeHash(account ^ node.hash)
		if owner != "" && weight <= best {
			continue
		}
		if reachable(node.address) {
			owner, best = node.address, weight
		}
	}
	return owner
}

// finalizeHash spreads the bits of a hash (the finalizer of MurmurHash3), since hashes combined by XOR keep their order.
func finalizeHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
