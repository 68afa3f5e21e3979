package link

import (
	"maps"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"
)

// Direction is the pair of failure domains between which bytes travel.
type Direction struct {
	From, To string
}

// Network holds the delays and cuts between failure domains; links ask it for every chunk of bytes.
type Network struct {
	mu      sync.Mutex
	domains map[netip.Addr]string
	delays  map[Direction]time.Duration
	cuts    map[Direction]bool
	links   []*Link
}

// NewNetwork returns a network without delays and cuts.
func NewNetwork() *Network {
	return &Network{
		domains: make(map[netip.Addr]string), delays: make(map[Direction]time.Duration), cuts: make(map[Direction]bool),
	}
}

// Place says that the IP address belongs to the failure domain.
func (n *Network) Place(address netip.Addr, domain string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.domains[address] = domain
}

// SetDelay sets the one-way delay between two failure domains, for both directions.
func (n *Network) SetDelay(a, b string, d time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.delays[Direction{a, b}] = d
	n.delays[Direction{b, a}] = d
}

// Cut stops all bytes in the direction until Heal; connections stay open and new ones hang, as when packets are lost.
func (n *Network) Cut(d Direction) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cuts[d] = true
}

// CutBoth stops all bytes between two failure domains.
func (n *Network) CutBoth(a, b string) {
	n.Cut(Direction{a, b})
	n.Cut(Direction{b, a})
}

// Heal ends all cuts. Connections that were cut are reset, as happens to those that timed out meanwhile.
func (n *Network) Heal() {
	n.mu.Lock()
	directions := slices.Collect(maps.Keys(n.cuts))
	n.mu.Unlock()
	n.HealOnly(directions...)
}

// HealOnly ends the cuts in these directions, as Heal does.
func (n *Network) HealOnly(directions ...Direction) {
	n.mu.Lock()
	healed := make(map[Direction]bool)
	for _, d := range directions {
		healed[d] = true
		delete(n.cuts, d)
	}
	links := append([]*Link(nil), n.links...)
	n.mu.Unlock()
	for _, l := range links {
		l.resetCut(healed)
	}
}

func (n *Network) domainOf(address net.Addr) string {
	tcp, ok := address.(*net.TCPAddr)
	if !ok {
		return ""
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.domains[tcp.AddrPort().Addr().Unmap()]
}

func (n *Network) state(d Direction) (delay time.Duration, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.delays[d], n.cuts[d]
}
