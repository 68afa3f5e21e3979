package config

import (
	"cmp"
	"math/rand/v2"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
)

const (
	// MaxPlatformReadsPerSecond limits the reads of all nodes together. The platform serves about 2,000 calls per second
	// to all its clients.
	MaxPlatformReadsPerSecond = 500
	// minReadIntervalMs is the shortest time between two reads of a section by one node.
	minReadIntervalMs clock.Millis = 5000
	// minEmptyCallIntervalMs is the shortest time between calls that return nothing new, for example if a replica answers
	// watches at once.
	minEmptyCallIntervalMs clock.Millis = 1000
	// retryBaseMs and retryMaxMs bound the exponential delay after failures. A change must be in force within 5 s after
	// the connection is restored; the maximum leaves time for the call itself.
	retryBaseMs clock.Millis = 200
	retryMaxMs  clock.Millis = 2000
	// callTimeoutMs is added to the wait of a call; after that time the call counts as failed.
	callTimeoutMs clock.Millis = 3000
	// preferredPeerReturnMs is the time after which a node returns to its preferred peer.
	preferredPeerReturnMs clock.Millis = 30000
	// maxPeersPerDomain limits the VMs of one failure domain that a poller calls. A node that is not a watcher calls VMs of
	// its own domain before watchers of other domains.
	maxPeersPerDomain = 6
	// maxPeerFailures is the number of consecutive failures after which the peers of a poller count as unresponsive.
	maxPeerFailures = 3
	// requiredStartupPeers is the number of peers that must answer for a node to serve before its startup timeout is over.
	requiredStartupPeers = 2
)

// CallKind is the kind of a call that fetches newer versions.
type CallKind string

// The kinds of calls.
const (
	// WatchPlatform is a long poll for a section at the platform.
	WatchPlatform CallKind = "watchPlatform"
	// ReadPlatform reads a section from the platform without waiting.
	ReadPlatform CallKind = "readPlatform"
	// SyncPeer is the call Sync to a peer.
	SyncPeer CallKind = "syncPeer"
)

// Peer is a node that can be called.
type Peer struct {
	// Name is empty for a bootstrap peer, of which only the address is known.
	Name    string
	Address string
}

// Call is a call that the node must make now.
type Call struct {
	ID   int64
	Kind CallKind
	// Section is set for calls to the platform.
	Section fleet.SectionName
	// Peer is set for calls to a peer.
	Peer Peer
	// WaitMs is the time that the receiver may hold the call.
	WaitMs clock.Millis
	// TimeoutMs is the time after which the caller must give up.
	TimeoutMs clock.Millis
}

// CallResult describes how a call ended.
type CallResult struct {
	// Answered is true if the receiver replied, even with nothing new.
	Answered bool
	// Updated is true if the reply contained something new, such as a version that is now in force. The next call then
	// follows at once.
	Updated bool
	// Complete is true if the peer that replied has all sections.
	Complete bool
}

// SchedulerSettings are the settings of a Scheduler.
type SchedulerSettings struct {
	Node          string
	FailureDomain string
	// PeerAddress is the node's own address, which it does not call even if it is listed in BootstrapPeers.
	PeerAddress      string
	BootstrapPeers   []string
	WatchWaitMs      clock.Millis
	StartupTimeoutMs clock.Millis
}

// poller makes repeated calls for one purpose, with at most one call in flight.
type poller struct {
	kind      CallKind
	section   fleet.SectionName
	peers     []Peer
	peerIndex int
	// group names the pollers that must not call the same peer at the same time; empty means no restriction.
	group    string
	longPoll bool
	// skipWait makes the next call return at once even if longPoll is set.
	skipWait bool

	inFlightID      int64
	startedAt       clock.Millis
	deadline        clock.Millis
	dueAt           clock.Millis
	preferredPeerAt clock.Millis
	failures        int
	answered        bool
	// lastPeer is the peer of the last call.
	lastPeer Peer
	// jitter is the fraction of readSpread that a starting node waits before it reads the platform.
	jitter float64
	// active is true while this poller reads the platform because no peer responds.
	active bool
}

// Scheduler decides when to call which peer or the platform for newer versions. Only the control goroutine may use it.
type Scheduler struct {
	settings      SchedulerSettings
	random        *rand.Rand
	startedAt     clock.Millis
	pollers       map[string]*poller
	vmCount       int
	watcherRank   int
	nextID        int64
	ready         bool
	anyAnswered   bool
	answeredPeers map[string]bool
}

// NewScheduler returns a scheduler for a node that has just started.
func NewScheduler(settings SchedulerSettings, random *rand.Rand, now clock.Millis) *Scheduler {
	s := &Scheduler{settings: settings, random: random, startedAt: now, watcherRank: -1,
		pollers: make(map[string]*poller), answeredPeers: make(map[string]bool)}
	for _, name := range fleet.SectionNames() {
		s.pollers["read/"+string(name)] = &poller{kind: ReadPlatform, section: name, jitter: random.Float64()}
	}
	s.SetFleet(&fleet.Snapshot{}, nil, now)
	return s
}

// SetFleet adapts the pollers to the VM list. leaving reports whether a node is known to be leaving; it may be nil.
func (s *Scheduler) SetFleet(snapshot *fleet.Snapshot, leaving func(name string) bool, now clock.Millis) {
	s.vmCount = len(snapshot.VMs.VMs)
	domain := s.settings.FailureDomain
	ranking := RankWatchers(snapshot, domain, leaving)
	s.watcherRank = WatcherRank(ranking, s.settings.Node)
	remoteVMs := RemoteWatchers(snapshot, domain, max(0, s.watcherRank), leaving)
	pollers := s.readPollers()
	localPeers := s.peersOf(ranking, maxPeersPerDomain)
	if s.watcherRank >= 0 {
		for _, name := range fleet.SectionNames() {
			s.addPoller(pollers, "watch/"+string(name), poller{kind: WatchPlatform, section: name, longPoll: true}, now)
		}
		s.addPoller(pollers, "local/0", poller{kind: SyncPeer, peers: localPeers, longPoll: true, group: "local"}, now)
		for remoteDomain, vms := range remoteVMs {
			s.addPoller(pollers, "domain/"+remoteDomain,
				poller{kind: SyncPeer, peers: s.peersOf(vms, maxPeersPerDomain), longPoll: true}, now)
		}
	} else {
		for _, remoteDomain := range Domains(snapshot) {
			localPeers = append(localPeers, s.peersOf(remoteVMs[remoteDomain], WatchersPerDomain)...)
		}
		for i, key := range []string{"local/0", "local/1"} {
			if len(localPeers) > i {
				peers := slices.Concat(localPeers[i:], localPeers[:i])
				s.addPoller(pollers, key, poller{kind: SyncPeer, peers: peers, longPoll: true, group: "local"}, now)
			}
		}
	}
	if !s.ready {
		s.addStartupPollers(pollers, remoteVMs, now)
	}
	s.pollers = pollers
}

// addStartupPollers adds the pollers that only a starting node needs: for bootstrap peers and watchers of other domains.
func (s *Scheduler) addStartupPollers(pollers map[string]*poller, remoteVMs map[string][]vm.VM, now clock.Millis) {
	var bootstrap []Peer
	for _, address := range s.settings.BootstrapPeers {
		if address != s.settings.PeerAddress {
			bootstrap = append(bootstrap, Peer{Address: address})
		}
	}
	for i := range min(requiredStartupPeers, len(bootstrap)) {
		peers := slices.Concat(bootstrap[i:], bootstrap[:i])
		s.addPoller(pollers, "bootstrap/"+string(rune('0'+i)), poller{kind: SyncPeer, peers: peers, group: "bootstrap"}, now)
	}
	for remoteDomain, vms := range remoteVMs {
		s.addPoller(pollers, "start/"+remoteDomain, poller{kind: SyncPeer, peers: s.peersOf(vms, maxPeersPerDomain)}, now)
	}
}

// readPollers returns the pollers that read the platform. They always exist but are seldom active.
func (s *Scheduler) readPollers() map[string]*poller {
	pollers := make(map[string]*poller)
	for _, name := range fleet.SectionNames() {
		key := "read/" + string(name)
		pollers[key] = s.pollers[key]
	}
	return pollers
}

// addPoller adds a poller that is due now or, if the key already exists, keeps that poller and updates its peers.
func (s *Scheduler) addPoller(pollers map[string]*poller, key string, p poller, now clock.Millis) {
	if p.kind == SyncPeer && len(p.peers) == 0 {
		return
	}
	existing, ok := s.pollers[key]
	if !ok {
		p.dueAt = now
		pollers[key] = &p
		return
	}
	if !slices.Equal(existing.peers, p.peers) {
		existing.peerIndex = max(0, slices.Index(p.peers, existing.peers[existing.peerIndex%len(existing.peers)]))
		existing.peers = p.peers
	}
	pollers[key] = existing
}

func (s *Scheduler) peersOf(vms []vm.VM, limit int) []Peer {
	var peers []Peer
	for _, v := range vms {
		if v.Name != s.settings.Node && len(peers) < limit {
			peers = append(peers, Peer{Name: v.Name, Address: v.PeerAddress})
		}
	}
	return peers
}

// Rank returns the node's rank among the watchers of its domain, or -1 if it is not a watcher.
func (s *Scheduler) Rank() int {
	return s.watcherRank
}

// Next returns the calls to make now. The caller must report the result of each one to Done; without a report, a call
// counts as failed after its timeout.
func (s *Scheduler) Next(now clock.Millis) []Call {
	var calls []Call
	for _, key := range s.sortedKeys() {
		p := s.pollers[key]
		if p.inFlightID != 0 && now >= p.deadline {
			s.Done(p.inFlightID, CallResult{}, now)
		}
		if p.inFlightID != 0 || now < s.dueTime(p, now) {
			continue
		}
		calls = append(calls, s.startCall(p, now))
	}
	return calls
}

func (s *Scheduler) sortedKeys() []string {
	keys := make([]string, 0, len(s.pollers))
	for key := range s.pollers {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (s *Scheduler) startCall(p *poller, now clock.Millis) Call {
	s.nextID++
	call := Call{ID: s.nextID, Kind: p.kind, Section: p.section}
	if p.kind == SyncPeer {
		s.choosePeer(p, now)
		p.lastPeer = p.peers[p.peerIndex]
		call.Peer = p.lastPeer
	}
	if p.longPoll && !p.skipWait {
		call.WaitMs = s.settings.WatchWaitMs
	}
	call.TimeoutMs = call.WaitMs + callTimeoutMs
	p.skipWait = false
	p.inFlightID, p.startedAt, p.deadline = call.ID, now, now+call.TimeoutMs
	return call
}

// choosePeer selects the peer for the next call. It returns to the preferred peer after preferredPeerReturnMs without
// failures and skips peers that another poller of the group is calling, so that one stale peer can't delay the node.
func (s *Scheduler) choosePeer(p *poller, now clock.Millis) {
	if p.peerIndex > 0 && p.failures == 0 && now >= p.preferredPeerAt {
		p.peerIndex = 0
	}
	p.peerIndex %= len(p.peers)
	for range p.peers {
		if !s.peerInUse(p) {
			return
		}
		p.peerIndex = (p.peerIndex + 1) % len(p.peers)
	}
}

func (s *Scheduler) peerInUse(p *poller) bool {
	if p.group == "" {
		return false
	}
	for _, other := range s.pollers {
		if other != p && other.group == p.group && other.inFlightID != 0 &&
			other.lastPeer == p.peers[p.peerIndex] {
			return true
		}
	}
	return false
}

// dueTime returns when the next call of the poller is due, or clock.Never if the poller is not active.
func (s *Scheduler) dueTime(p *poller, now clock.Millis) clock.Millis {
	if p.kind != ReadPlatform {
		return p.dueAt
	}
	if s.vmCount == 0 && p.section != fleet.VMs {
		return clock.Never // The interval depends on the size of the fleet, which is still unknown.
	}
	if !s.ready && !p.answered {
		return max(p.dueAt, s.startedAt+clock.Millis(p.jitter*float64(s.readSpread())))
	}
	if !s.PeersUnresponsive() {
		p.active = false
		return clock.Never
	}
	if !p.active {
		// Keeps the interval since the last read, so that peers that fail repeatedly do not cause extra reads.
		p.active = true
		p.dueAt = max(p.dueAt, now+clock.Millis(s.random.Float64()*float64(s.readSpread())))
	}
	return p.dueAt
}

// readSpread returns the time over which the reads of all nodes are distributed to stay below
// MaxPlatformReadsPerSecond.
func (s *Scheduler) readSpread() clock.Millis {
	if s.vmCount == 0 {
		return s.settings.StartupTimeoutMs
	}
	return clock.Millis(s.vmCount*len(fleet.SectionNames())) * 1000 / MaxPlatformReadsPerSecond
}

// PeersUnresponsive reports whether no peer answers, so that the node must read the platform itself.
func (s *Scheduler) PeersUnresponsive() bool {
	if s.watcherRank >= 0 {
		return false // Watchers call the platform anyway.
	}
	for _, p := range s.pollers {
		if p.kind == SyncPeer && p.failures < min(maxPeerFailures, len(p.peers)) {
			return false
		}
	}
	return true
}

// Done records the result of a call. Results of calls that were given up are ignored.
func (s *Scheduler) Done(id int64, result CallResult, now clock.Millis) {
	for _, p := range s.pollers {
		if p.inFlightID == id && id != 0 {
			s.finishCall(p, result, now)
		}
	}
}

func (s *Scheduler) finishCall(p *poller, result CallResult, now clock.Millis) {
	p.inFlightID = 0
	if !result.Answered {
		p.failures++
		p.dueAt = now + s.backoff(p.failures)
		p.preferredPeerAt = now + preferredPeerReturnMs
		if p.kind == SyncPeer {
			p.peerIndex = (p.peerIndex + 1) % len(p.peers)
		}
	} else {
		p.failures, p.answered = 0, true
		p.dueAt = now
		if !result.Updated {
			p.dueAt = max(now, p.startedAt+minEmptyCallIntervalMs)
		}
		s.recordAnswer(p, result)
	}
	if p.kind == ReadPlatform {
		// The interval also applies after failures, because retries count against the same limit.
		interval := max(minReadIntervalMs, s.readSpread())
		p.dueAt = now + interval + clock.Millis(s.random.Float64()*float64(interval)/2)
	}
}

// recordAnswer records an answer for Ready. It ignores a peer that does not have all sections itself.
func (s *Scheduler) recordAnswer(p *poller, result CallResult) {
	if p.kind == SyncPeer && result.Complete {
		s.anyAnswered = true
		s.answeredPeers[p.lastPeer.Address] = true
	}
	if p.kind != SyncPeer {
		s.anyAnswered = true
		if read, ok := s.pollers["read/"+string(p.section)]; ok {
			read.answered = true
		}
	}
}

// backoff returns a jittered delay that grows exponentially with the number of failures. The delay after the first
// failures is short, so that the next peer is tried soon.
func (s *Scheduler) backoff(failures int) clock.Millis {
	delay := min(retryMaxMs, retryBaseMs<<min(failures-1, 10))
	return delay/2 + clock.Millis(s.random.Float64()*float64(delay)/2)
}

// PollNow gives up the calls to peers and the platform watches in flight and makes them due again at once, without
// waiting at the receiver. It is called after a pause of the process.
func (s *Scheduler) PollNow(now clock.Millis) {
	for _, p := range s.pollers {
		if p.kind != ReadPlatform {
			p.inFlightID, p.skipWait, p.dueAt = 0, true, now
		}
	}
}

// Ready reports whether the node may serve: complete says that it has all sections, and either enough peers and the
// platform answered, or the startup timeout is over and at least one of them answered. Once true, it stays true.
func (s *Scheduler) Ready(complete bool, now clock.Millis) bool {
	if s.ready || !complete || !s.anyAnswered {
		return s.ready
	}
	enough := len(s.answeredPeers) >= min(requiredStartupPeers, s.vmCount-1) && s.platformAnswered()
	s.ready = enough || now-s.startedAt >= s.settings.StartupTimeoutMs
	if s.ready {
		s.dropStartupPollers()
	}
	return s.ready
}

func (s *Scheduler) platformAnswered() bool {
	for _, name := range fleet.SectionNames() {
		if !s.pollers["read/"+string(name)].answered {
			return false
		}
	}
	return true
}

func (s *Scheduler) dropStartupPollers() {
	for key, p := range s.pollers {
		if p.kind == SyncPeer && !p.longPoll {
			delete(s.pollers, key)
		}
	}
}

// ActivePeers returns the peers with a call in flight, sorted by name and address, for the status report.
func (s *Scheduler) ActivePeers() []Peer {
	var peers []Peer
	for _, p := range s.pollers {
		if p.kind == SyncPeer && p.inFlightID != 0 {
			peers = append(peers, p.lastPeer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name+a.Address, b.Name+b.Address) })
	return slices.Compact(peers)
}
