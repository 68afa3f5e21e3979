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
	// MaxPlatformReadsPerSecond bounds the reads of all nodes together. The platform serves about 2,000 calls a
	// second to all its readers.
	MaxPlatformReadsPerSecond = 500
	// minReadIntervalMs is the shortest time between two reads of a section by one node.
	minReadIntervalMs clock.Millis = 5000
	// minEmptyCallIntervalMs spaces calls that bring no news, for example to a replica that answers watches at once.
	minEmptyCallIntervalMs clock.Millis = 1000
	// retryBaseMs and retryMaxMs bound the exponential delay after failures. The maximum leaves time for the call
	// itself within the 5 s in which a change is to be in force after contact returns.
	retryBaseMs clock.Millis = 200
	retryMaxMs  clock.Millis = 2000
	// callTimeoutMs is the time beyond its wait after which a call counts as failed.
	callTimeoutMs clock.Millis = 3000
	// preferredPeerReturnMs is the time after which a node returns to its preferred peer.
	preferredPeerReturnMs clock.Millis = 30000
	// maxLocalPeers is the number of VMs of its own domain that a node asks before watchers of other domains.
	maxLocalPeers = 6
	// maxPeerFailures is the number of consecutive failures after which the peers of a lane count as silent.
	maxPeerFailures = 3
	// requiredStartupPeers is the number of peers that are to answer before a node serves within the startup timeout.
	requiredStartupPeers = 2
)

// CallKind is the kind of a call that a node is to make.
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

// Peer is a node to ask.
type Peer struct {
	// Name is empty for a bootstrap peer, of which only the address is known.
	Name    string
	Address string
}

// Call is one call that the node is to make now.
type Call struct {
	ID   int64
	Kind CallKind
	// Section is set for calls to the platform.
	Section fleet.SectionName
	// Peer is set for calls to a peer.
	Peer Peer
	// WaitMs is the time that the receiver may hold the call.
	WaitMs clock.Millis
	// TimeoutMs is the time after which the caller is to give up.
	TimeoutMs clock.Millis
}

// CallResult says how an action ended.
type CallResult struct {
	// Answered is true when the receiver replied, even with nothing new.
	Answered bool
	// Updated is true when the reply brought a version into force.
	Updated bool
	// Complete is true when the peer that replied has all sections.
	Complete bool
}

// SchedulerSettings are the settings of a Reader.
type SchedulerSettings struct {
	Node          string
	FailureDomain string
	// PeerAddress is the node's own address, which it does not ask even if it is a bootstrap peer.
	PeerAddress      string
	BootstrapPeers   []string
	WatchWaitMs      clock.Millis
	StartupTimeoutMs clock.Millis
}

// poller is a sequence of calls for one purpose, of which at most one is in flight.
type poller struct {
	kind      CallKind
	section   fleet.SectionName
	peers     []Peer
	peerIndex int
	// group joins lanes that are not to ask the same peer.
	group    string
	longPoll bool
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
	// jitter is the part of the spread after which a starting node reads the platform.
	jitter float64
	// active is true while a read lane takes the place of silent peers.
	active bool
}

// Scheduler decides whom to ask for newer versions. It is used by the control goroutine only.
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

// NewScheduler returns the schedule of a node that has just started.
func NewScheduler(settings SchedulerSettings, random *rand.Rand, now clock.Millis) *Scheduler {
	r := &Scheduler{settings: settings, random: random, startedAt: now, watcherRank: -1,
		pollers: make(map[string]*poller), answeredPeers: make(map[string]bool)}
	for _, name := range fleet.SectionNames() {
		r.pollers["read/"+string(name)] = &poller{kind: ReadPlatform, section: name, jitter: random.Float64()}
	}
	r.SetFleet(&fleet.Snapshot{}, nil, now)
	return r
}

// SetFleet adapts the schedule to a VM list and to what is known of leaving nodes; nil means nothing is known.
func (r *Scheduler) SetFleet(snapshot *fleet.Snapshot, leaving func(name string) bool, now clock.Millis) {
	r.vmCount = len(snapshot.VMs.VMs)
	domain := r.settings.FailureDomain
	ranking := RankWatchers(snapshot, domain, leaving)
	r.watcherRank = WatcherRank(ranking, r.settings.Node)
	remote := RemoteWatchers(snapshot, domain, max(0, r.watcherRank), leaving)
	wanted := r.readPollers()
	local := r.peersOf(ranking, maxLocalPeers)
	if r.watcherRank >= 0 {
		for _, name := range fleet.SectionNames() {
			r.addPoller(wanted, "watch/"+string(name), poller{kind: WatchPlatform, section: name, longPoll: true}, now)
		}
		r.addPoller(wanted, "local/0", poller{kind: SyncPeer, peers: local, longPoll: true, group: "local"}, now)
		for other, vms := range remote {
			r.addPoller(wanted, "domain/"+other, poller{kind: SyncPeer, peers: r.peersOf(vms, maxLocalPeers), longPoll: true}, now)
		}
	} else {
		for _, other := range Domains(snapshot) {
			local = append(local, r.peersOf(remote[other], WatchersPerDomain)...)
		}
		for i, key := range []string{"local/0", "local/1"} {
			if len(local) > i {
				peers := slices.Concat(local[i:], local[:i])
				r.addPoller(wanted, key, poller{kind: SyncPeer, peers: peers, longPoll: true, group: "local"}, now)
			}
		}
	}
	if !r.ready {
		r.addStartupPollers(wanted, remote, now)
	}
	r.pollers = wanted
}

// addStartupPollers adds the lanes that only a starting node needs: bootstrap peers and watchers of other domains.
func (r *Scheduler) addStartupPollers(wanted map[string]*poller, remote map[string][]vm.VM, now clock.Millis) {
	var bootstrap []Peer
	for _, address := range r.settings.BootstrapPeers {
		if address != r.settings.PeerAddress {
			bootstrap = append(bootstrap, Peer{Address: address})
		}
	}
	for i := range min(requiredStartupPeers, len(bootstrap)) {
		peers := slices.Concat(bootstrap[i:], bootstrap[:i])
		r.addPoller(wanted, "bootstrap/"+string(rune('0'+i)), poller{kind: SyncPeer, peers: peers, group: "bootstrap"}, now)
	}
	for other, vms := range remote {
		r.addPoller(wanted, "start/"+other, poller{kind: SyncPeer, peers: r.peersOf(vms, maxLocalPeers)}, now)
	}
}

// readPollers returns the lanes that read the platform, which are always there but seldom active.
func (r *Scheduler) readPollers() map[string]*poller {
	lanes := make(map[string]*poller)
	for _, name := range fleet.SectionNames() {
		key := "read/" + string(name)
		lanes[key] = r.pollers[key]
	}
	return lanes
}

// addPoller keeps an existing lane with new peers, or adds a new one that is due now.
func (r *Scheduler) addPoller(wanted map[string]*poller, key string, l poller, now clock.Millis) {
	if l.kind == SyncPeer && len(l.peers) == 0 {
		return
	}
	old, ok := r.pollers[key]
	if !ok {
		l.dueAt = now
		wanted[key] = &l
		return
	}
	if !slices.Equal(old.peers, l.peers) {
		old.peerIndex = max(0, slices.Index(l.peers, old.peers[old.peerIndex%len(old.peers)]))
		old.peers = l.peers
	}
	wanted[key] = old
}

func (r *Scheduler) peersOf(vms []vm.VM, limit int) []Peer {
	var peers []Peer
	for _, v := range vms {
		if v.Name != r.settings.Node && len(peers) < limit {
			peers = append(peers, Peer{Name: v.Name, Address: v.PeerAddress})
		}
	}
	return peers
}

// Rank returns the node's rank among the watchers of its domain, or -1 if it is no watcher.
func (r *Scheduler) Rank() int {
	return r.watcherRank
}

// Next returns the calls to make now. Each action is to be answered by Done; one that is not counts as
// failed after its timeout.
func (r *Scheduler) Next(now clock.Millis) []Call {
	var actions []Call
	for _, key := range r.sortedKeys() {
		l := r.pollers[key]
		if l.inFlightID != 0 && now >= l.deadline {
			r.Done(l.inFlightID, CallResult{}, now)
		}
		if l.inFlightID != 0 || now < r.dueTime(l, now) {
			continue
		}
		actions = append(actions, r.startCall(l, now))
	}
	return actions
}

func (r *Scheduler) sortedKeys() []string {
	keys := make([]string, 0, len(r.pollers))
	for key := range r.pollers {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (r *Scheduler) startCall(l *poller, now clock.Millis) Call {
	r.nextID++
	action := Call{ID: r.nextID, Kind: l.kind, Section: l.section}
	if l.kind == SyncPeer {
		r.choosePeer(l, now)
		l.lastPeer = l.peers[l.peerIndex]
		action.Peer = l.lastPeer
	}
	if l.longPoll && !l.skipWait {
		action.WaitMs = r.settings.WatchWaitMs
	}
	action.TimeoutMs = action.WaitMs + callTimeoutMs
	l.skipWait = false
	l.inFlightID, l.startedAt, l.deadline = action.ID, now, now+action.TimeoutMs
	return action
}

// choosePeer moves a lane to its next peer: back to the preferred one in time, and past a peer that a lane of
// the same group asks, so that one stale peer does not keep the node back.
func (r *Scheduler) choosePeer(l *poller, now clock.Millis) {
	if l.peerIndex > 0 && l.failures == 0 && now >= l.preferredPeerAt {
		l.peerIndex = 0
	}
	l.peerIndex %= len(l.peers)
	for range l.peers {
		if !r.peerInUse(l) {
			return
		}
		l.peerIndex = (l.peerIndex + 1) % len(l.peers)
	}
}

func (r *Scheduler) peerInUse(l *poller) bool {
	if l.group == "" {
		return false
	}
	for _, other := range r.pollers {
		if other != l && other.group == l.group && other.inFlightID != 0 &&
			other.lastPeer == l.peers[l.peerIndex] {
			return true
		}
	}
	return false
}

// dueTime returns when the lane's next call is due, or clock.Never for a lane that is not active.
func (r *Scheduler) dueTime(l *poller, now clock.Millis) clock.Millis {
	if l.kind != ReadPlatform {
		return l.dueAt
	}
	if r.vmCount == 0 && l.section != fleet.VMs {
		return clock.Never // The size of the fleet, and with it the interval, is still unknown.
	}
	if !r.ready && !l.answered {
		return max(l.dueAt, r.startedAt+clock.Millis(l.jitter*float64(r.readSpread())))
	}
	if !r.PeersUnresponsive() {
		l.active = false
		return clock.Never
	}
	if !l.active {
		// The interval since the last read still counts when peers fall silent again and again.
		l.active = true
		l.dueAt = max(l.dueAt, now+clock.Millis(r.random.Float64()*float64(r.readSpread())))
	}
	return l.dueAt
}

// readSpread returns the time over which the reads of all nodes are readSpread to stay below the cap.
func (r *Scheduler) readSpread() clock.Millis {
	if r.vmCount == 0 {
		return r.settings.StartupTimeoutMs
	}
	return clock.Millis(r.vmCount*len(fleet.SectionNames())) * 1000 / MaxPlatformReadsPerSecond
}

// PeersUnresponsive reports whether no peer answers, so that the node reads the platform itself.
func (r *Scheduler) PeersUnresponsive() bool {
	if r.watcherRank >= 0 {
		return false // Watchers ask the platform anyway.
	}
	for _, l := range r.pollers {
		if l.kind == SyncPeer && l.failures < min(maxPeerFailures, len(l.peers)) {
			return false
		}
	}
	return true
}

// Done records how an action ended. The reply to an action that was given up is ignored.
func (r *Scheduler) Done(id int64, reply CallResult, now clock.Millis) {
	for _, l := range r.pollers {
		if l.inFlightID == id && id != 0 {
			r.finishCall(l, reply, now)
		}
	}
}

func (r *Scheduler) finishCall(l *poller, reply CallResult, now clock.Millis) {
	l.inFlightID = 0
	if !reply.Answered {
		l.failures++
		l.dueAt = now + r.backoff(l.failures)
		l.preferredPeerAt = now + preferredPeerReturnMs
		if l.kind == SyncPeer {
			l.peerIndex = (l.peerIndex + 1) % len(l.peers)
		}
	} else {
		l.failures, l.answered = 0, true
		l.dueAt = now
		if !reply.Updated {
			l.dueAt = max(now, l.startedAt+minEmptyCallIntervalMs)
		}
		r.recordAnswer(l, reply)
	}
	if l.kind == ReadPlatform {
		// The interval also applies after failures: retries count against the same cap.
		interval := max(minReadIntervalMs, r.readSpread())
		l.dueAt = now + interval + clock.Millis(r.random.Float64()*float64(interval)/2)
	}
}

// recordAnswer records an answer for the start. A peer that is itself incomplete vouches for nothing.
func (r *Scheduler) recordAnswer(l *poller, reply CallResult) {
	if l.kind == SyncPeer && reply.Complete {
		r.anyAnswered = true
		r.answeredPeers[l.lastPeer.Address] = true
	}
	if l.kind != SyncPeer {
		r.anyAnswered = true
		if read, ok := r.pollers["read/"+string(l.section)]; ok {
			read.answered = true
		}
	}
}

// backoff returns a jittered delay that grows exponentially with the number of failures. The first
// failures move on to the next rank after a short delay.
func (r *Scheduler) backoff(failures int) clock.Millis {
	delay := min(retryMaxMs, retryBaseMs<<min(failures-1, 10))
	return delay/2 + clock.Millis(r.random.Float64()*float64(delay)/2)
}

// PollNow gives up the calls in flight to peers and the platform's watches and asks again at once, without
// waiting at the receiver; it is called after a pause.
func (r *Scheduler) PollNow(now clock.Millis) {
	for _, l := range r.pollers {
		if l.kind != ReadPlatform {
			l.inFlightID, l.skipWait, l.dueAt = 0, true, now
		}
	}
}

// Ready reports whether the node may serve: all sections are there, and either enough peers and the platform
// answered or the startup timeout is over and at least one of them answered. Once true it stays true.
func (r *Scheduler) Ready(complete bool, now clock.Millis) bool {
	if r.ready || !complete || !r.anyAnswered {
		return r.ready
	}
	enough := len(r.answeredPeers) >= min(requiredStartupPeers, r.vmCount-1) && r.platformAnswered()
	r.ready = enough || now-r.startedAt >= r.settings.StartupTimeoutMs
	if r.ready {
		r.dropStartupPollers()
	}
	return r.ready
}

func (r *Scheduler) platformAnswered() bool {
	for _, name := range fleet.SectionNames() {
		if !r.pollers["read/"+string(name)].answered {
			return false
		}
	}
	return true
}

func (r *Scheduler) dropStartupPollers() {
	for key, l := range r.pollers {
		if l.kind == SyncPeer && !l.longPoll {
			delete(r.pollers, key)
		}
	}
}

// ActivePeers returns the peers that the node asks at present, sorted by name, for operators.
func (r *Scheduler) ActivePeers() []Peer {
	var peers []Peer
	for _, l := range r.pollers {
		if l.kind == SyncPeer && l.inFlightID != 0 {
			peers = append(peers, l.lastPeer)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name+a.Address, b.Name+b.Address) })
	return slices.Compact(peers)
}
