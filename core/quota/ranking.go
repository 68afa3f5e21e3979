package quota

import "github.com/cespare/xxhash/v2"

// Ranking chooses the node that owns the bucket of an account, by rendezvous hashing. All nodes with the same list of
// nodes make the same choice, and accounts are spread evenly over the nodes.
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

// Owner returns the reachable node with the highest score for the account, or "" if none is reachable.
func (r *Ranking) Owner(accountID string, reachable func(address string) bool) string {
	accountHash := xxhash.Sum64String(accountID)
	owner, bestScore := "", uint64(0)
	for _, node := range r.nodes {
		score := finalizeHash(accountHash ^ node.hash)
		if owner != "" && score <= bestScore {
			continue
		}
		if reachable(node.address) {
			owner, bestScore = node.address, score
		}
	}
	return owner
}

// finalizeHash mixes the bits of a hash with the finalizer of MurmurHash3. Hashes that are only combined by XOR would
// keep their order for many accounts.
func finalizeHash(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
