package capacity

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

const (
	// tickMs is the resolution of the simulation and the delay of each message in one direction.
	tickMs clock.Millis = 5
	// steadyMs covers several waits of the long polls.
	steadyMs clock.Millis = 30_000
	// limitMs ends a simulation that does not reach its goal.
	limitMs clock.Millis = 120_000
)

// simulation runs the schedules of all nodes against a platform and peers that answer as the real ones do: a waiting
// call is answered when the receiver has a newer version or the wait is over.
type simulation struct {
	now     clock.Millis
	version int
	nodes   []*simulatedNode
	byName  map[string]*simulatedNode

	platformCalls int
	peerCalls     int
	counting      bool
}

type simulatedNode struct {
	reader   *config.Scheduler
	version  int
	hops     int
	received int
	pending  []pendingCall
}

// pendingCall is a call that the receiver got at arrives and has not answered.
type pendingCall struct {
	action  config.Call
	arrives clock.Millis
	// news is the version in the reply and hops its way; the reply arrives at returns, which is 0 until it is sent.
	news    int
	hops    int
	returns clock.Millis
}

func newSimulation(snapshot *fleet.Snapshot) *simulation {
	s := &simulation{byName: make(map[string]*simulatedNode)}
	for i, v := range snapshot.VMs.VMs {
		n := &simulatedNode{reader: newReader(snapshot, i)}
		s.nodes = append(s.nodes, n)
		s.byName[v.Name] = n
	}
	return s
}

// step moves the time forward by one tick.
func (s *simulation) step() {
	s.now += tickMs
	for _, n := range s.nodes {
		kept := n.pending[:0]
		for _, c := range n.pending {
			s.reply(n, &c)
			if c.returns == 0 || c.returns > s.now {
				kept = append(kept, c)
				continue
			}
			news := c.news > n.version
			if news {
				n.version, n.hops = c.news, c.hops
			}
			n.reader.Done(c.action.ID, config.CallResult{Answered: true, Updated: news, Complete: true}, s.now)
		}
		n.pending = kept
		for _, a := range n.reader.Next(s.now) {
			n.pending = append(n.pending, pendingCall{action: a, arrives: s.now + tickMs})
			s.count(a)
		}
	}
}

// reply sends the receiver's reply when there is news or the wait is over.
func (s *simulation) reply(n *simulatedNode, c *pendingCall) {
	if c.returns != 0 || c.arrives > s.now {
		return
	}
	version, hops := s.version, 1
	if c.action.Kind == config.SyncPeer {
		peer, ok := s.byName[c.action.Peer.Name]
		if !ok {
			return
		}
		version, hops = peer.version, peer.hops+1
	}
	if version > n.version || s.now >= c.arrives+c.action.WaitMs {
		c.news, c.hops, c.returns = version, hops, s.now+tickMs
	}
}

func (s *simulation) count(a config.Call) {
	if !s.counting {
		return
	}
	if a.Kind != config.SyncPeer {
		s.platformCalls++
		return
	}
	s.peerCalls++
	if peer, ok := s.byName[a.Peer.Name]; ok {
		peer.received++
	}
}

// measure counts the calls of the given time.
func (s *simulation) measure(duration clock.Millis) {
	s.counting = true
	for end := s.now + duration; s.now < end; {
		s.step()
	}
	s.counting = false
}

// publish makes a new version available at the platform and returns the time.
func (s *simulation) publish() clock.Millis {
	s.version++
	return s.now
}

func (s *simulation) await(reached func() bool, goal string) error {
	for end := s.now + limitMs; !reached(); {
		if s.now >= end {
			return Error.New("%d nodes: not reached in %d ms: %s", len(s.nodes), limitMs, goal)
		}
		s.step()
	}
	return nil
}

func (s *simulation) ready() bool {
	for _, n := range s.nodes {
		if !n.reader.Ready(true, s.now) {
			return false
		}
	}
	return true
}

func (s *simulation) inForce() bool {
	for _, n := range s.nodes {
		if n.version != s.version {
			return false
		}
	}
	return true
}

func (s *simulation) mostHops() int {
	most := 0
	for _, n := range s.nodes {
		most = max(most, n.hops)
	}
	return most
}

func (s *simulation) mostReceived() int {
	most := 0
	for _, n := range s.nodes {
		most = max(most, n.received)
	}
	return most
}
