package directory

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/vm"
)

const (
	testDomains = 5
	testNodes   = 200
)

// testFleet returns the VMs of a fleet, and its nodes as seen from each failure domain.
func testFleet() (vms []vm.VM, views map[string]Nodes) {
	for i := range testNodes {
		vms = append(vms, vm.VM{PeerAddress: fmt.Sprintf("10.%d.0.%d:7", i%testDomains, i), FailureDomain: fmt.Sprint(i % testDomains)})
	}
	views = make(map[string]Nodes)
	for i := range testDomains {
		views[fmt.Sprint(i)] = newNodes(vms, fmt.Sprint(i))
	}
	return vms, views
}

func always(string) bool { return true }

// Guards against a fleet in which several nodes, or none, read the platform.
func TestExactlyOneNodeHasRankZero(t *testing.T) {
	vms, views := testFleet()
	var rankZero []string
	for _, v := range vms {
		if views[v.FailureDomain].rank(v.PeerAddress, always) == 0 {
			rankZero = append(rankZero, v.PeerAddress)
		}
	}
	assert.Equal(t, len(rankZero), 1)
	assert.Assert(t, views["0"].rank("10.9.9.9:7", always) > 0, "an unlisted node never has rank 0")
	next := views["0"].All[1]
	withoutFirst := func(address string) bool { return address != rankZero[0] }
	assert.Equal(t, views["0"].rank(next, withoutFirst), 0, "the next node takes over")
}

// Guards against nodes that updates never reach. Each node asks its domain leader, and domain leaders ask the first node of the
// fleet.
func TestUpdatesReachEachNodeWithinTwoHops(t *testing.T) {
	vms, views := testFleet()
	first := views["0"].All[0]
	domainOf := make(map[string]string)
	for _, v := range vms {
		domainOf[v.PeerAddress] = v.FailureDomain
	}
	for _, v := range vms {
		hops, at := 0, v.PeerAddress
		for at != first {
			at = views[domainOf[at]].updateSources(at, 1, always)[0]
			hops++
		}
		assert.Assert(t, hops <= 2)
	}
}

// A fleet of 200 nodes starts. Announcements must not go to every node: their number would grow with the square of the fleet, and
// most would cross failure domains.
func TestStartIsAnnouncedToFewNodesOfOtherDomains(t *testing.T) {
	_, views := testFleet()
	n := views["1"]
	peers := n.announcementPeers(2, always)
	assert.Equal(t, len(peers), testNodes/testDomains+2*(testDomains-1))
	for _, address := range n.SameDomain {
		assert.Assert(t, slices.Contains(peers, address))
	}
}
