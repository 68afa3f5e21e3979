package seat

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// List is the set of VMs among which the seats are divided, at one published version.
type List struct {
	Version int64
	VMs     []string
	hashes  []uint64
}

// NewList returns the list of the named VMs at the version; the names may be in any order.
func NewList(version int64, names []string) List {
	list := List{Version: version, VMs: slices.Compact(slices.Sorted(slices.Values(names)))}
	for _, name := range list.VMs {
		list.hashes = append(list.hashes, xxhash.Sum64String(name))
	}
	return list
}

// Key returns the key of the seat with this index, for an account or service and a failure domain.
func Key(name, domain string, index int) string {
	return strconv.Itoa(len(name)) + ":" + name + "/" + domain + "/" + strconv.Itoa(index)
}

// Owner returns the VM that rendezvous hashing chooses for the key, or "" if the list is empty. The hash must never
// change, because nodes of different releases would disagree about owners.
func (l List) Owner(key string) string {
	var owner string
	var best uint64
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[8:], xxhash.Sum64String(key))
	for i, name := range l.VMs {
		binary.LittleEndian.PutUint64(pair[:8], l.hashes[i])
		if score := xxhash.Sum64(pair[:]); owner == "" || score > best {
			owner, best = name, score
		}
	}
	return owner
}

func (l List) contains(name string) bool {
	_, found := slices.BinarySearch(l.VMs, name)
	return found
}
