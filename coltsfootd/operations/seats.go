package operations

import (
	"strconv"
	"sync"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/operation"
)

// ListSeats takes the owner of a seat from the published VM list. It stands in for the fenced ownership of package
// seat: a node owns a seat only after the fence since it first saw the list version. Unlike the fenced ownership it
// does not notice that other nodes hold a newer list.
type ListSeats struct {
	node      string
	fence     clock.Millis
	snapshots Snapshots

	mu      sync.Mutex
	version int64
	since   clock.Millis
}

// NewListSeats returns the ownership of the node; fence is the time after a new list before it is used.
func NewListSeats(node string, fence clock.Millis, snapshots Snapshots) *ListSeats {
	return &ListSeats{node: node, fence: fence, snapshots: snapshots}
}

// Owner returns the VM that ranks first by rendezvous hashing among those of the service in the seat's domain.
func (l *ListSeats) Owner(service string, seat operation.Seat) string {
	return owner(l.snapshots.Current(), service, seat)
}

// Owned reports since when this node has owned the seat.
func (l *ListSeats) Owned(service string, seat operation.Seat, now clock.Millis) (clock.Millis, bool) {
	snapshot := l.snapshots.Current()
	since := l.Observe(now)
	return since, owner(snapshot, service, seat) == l.node && since <= now
}

// Observe notes the list in force and returns from when on it may be used; call it often.
func (l *ListSeats) Observe(now clock.Millis) clock.Millis {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version := l.snapshots.Current().Versions[fleet.VMs]; version != l.version {
		l.version, l.since = version, now+l.fence
	}
	return l.since
}

func owner(snapshot *fleet.Snapshot, service string, seat operation.Seat) string {
	var name string
	var best uint64
	key := service + "/" + seat.Domain + "/" + strconv.Itoa(seat.Index) + "/"
	for _, v := range snapshot.VMsOfService(service) {
		if v.FailureDomain != seat.Domain {
			continue
		}
		if score := xxhash.Sum64String(key + v.Name); name == "" || score > best {
			name, best = v.Name, score
		}
	}
	return name
}
