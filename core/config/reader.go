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
	// PlatformReadsPerSecond bounds the reads of all nodes together. The platform serves about 2,000 calls a
	// second to all its readers.
	PlatformReadsPerSecond = 500
	// minReadIntervalMs is the shortest time between two reads of a section by one node.
	minReadIntervalMs clock.Millis = 5000
	// minGapMs spaces calls that bring no news, for example to a replica that answers watches at once.
	minGapMs clock.Millis = 1000
	// retryBaseMs and retryMaxMs bound the exponential delay after failures. The maximum leaves time for the call
	// itself within the 5 s in which a change is to be in force after contact returns.
	retryBaseMs clock.Millis = 200
	retryMaxMs  clock.Millis = 2000
	// callTimeoutMs is the time beyond its wait after which a call counts as failed.
	callTimeoutMs clock.Millis = 3000
	// homeMs is the time after which a node returns to its preferred peer.
	homeMs clock.Millis = 30000
	// localRanks is the number of VMs of its own domain that a node asks before watchers of other domains.
	localRanks = 6
	// silentPeers is the number of consecutive failures after which the peers of a lane count as silent.
	silentPeers = 3
	// startPeers is the number of peers that are to answer before a node serves within the startup timeout.
	startPeers = 2
)

// Kind is the kind of a call that a node is to make.
type Kind string

// The kinds of calls.
const (
	// WatchPlatform is a long poll for a section at the platform.
	WatchPlatform Kind = "watchPlatform"
	// ReadPlatform reads a section from the platform without waiting.
	ReadPlatform Kind = "readPlatform"
	// SyncPeer is the call Sync to a peer.
	SyncPeer Kind = "syncPeer"
)

// Peer is a node to ask.
type Peer struct {
	// Name is empty for a bootstrap peer, of which only the address is known.
	Name    string
	Address string
}

// Action is one call that the node is to make now.
type Action struct {
	ID   int64
	Kind Kind
	// Section is set for calls to the platform.
	Section fleet.Name
	// Peer is set for calls to a peer.
	Peer Peer
	// WaitMs is the time that the receiver may hold the call.
	WaitMs clock.Millis
	// TimeoutMs is the time after which the caller is to give up.
	TimeoutMs clock.Millis
}

// Reply says how an action ended.
type Reply struct {
	// Answered is true when the receiver replied, even with nothing new.
	Answered bool
	// News is true when the reply brought a version into force.
	News bool
	// Complete is true when the peer that replied has all sections.
	Complete bool
}

// ReaderSettings are the settings of a Reader.
type ReaderSettings struct {
	Node          string
	FailureDomain string
	// PeerAddress is the node's own address, which it does not ask even if it is a bootstrap peer.
	PeerAddress      string
	BootstrapPeers   []string
	WatchWaitMs      clock.Millis
	StartupTimeoutMs clock.Millis
}

// lane is a sequence of calls for one purpose, of which at most one is in flight.
type lane struct {
	kind    Kind
	section fleet.Name
	peers   []Peer
	cursor  int
	// group joins lanes that are not to ask the same peer.
	group string
	wait  bool
	quick bool

	inFlight int64
	started  clock.Millis
	deadline clock.Millis
	due      clock.Millis
	homeAt   clock.Millis
	failures int
	answered bool
	// asked is the peer of the last call.
	asked Peer
	// jitter is the part of the spread after which a starting node reads the platform.
	jitter float64
	// active is true while a read lane takes the place of silent peers.
	active bool
}

// Reader decides whom to ask for newer versions. It is used by the control goroutine only.
type Reader struct {
	settings  ReaderSettings
	random    *rand.Rand
	startedAt clock.Millis
	lanes     map[string]*lane
	vms       int
	rank      int
	nextID    int64
	ready     bool
	anyAnswer bool
	starters  map[string]bool
}

// NewReader returns the schedule of a node that has just started.
func NewReader(settings ReaderSettings, random *rand.Rand, now clock.Millis) *Reader {
	r := &Reader{settings: settings, random: random, startedAt: now, rank: -1,
		lanes: make(map[string]*lane), starters: make(map[string]bool)}
	for _, name := range fleet.Names() {
		r.lanes["read/"+string(name)] = &lane{kind: ReadPlatform, section: name, jitter: random.Float64()}
	}
	r.SetFleet(&fleet.Snapshot{}, nil, now)
	return r
}

// SetFleet adapts the schedule to a VM list and to what is known of leaving nodes; nil means nothing is known.
func (r *Reader) SetFleet(snapshot *fleet.Snapshot, leaving func(name string) bool, now clock.Millis) {
	r.vms = len(snapshot.VMs.VMs)
	domain := r.settings.FailureDomain
	ranking := RankWatchers(snapshot, domain, leaving)
	r.rank = WatcherRank(ranking, r.settings.Node)
	remote := RemoteWatchers(snapshot, domain, max(0, r.rank), leaving)
	wanted := r.readLanes()
	local := r.peersOf(ranking, localRanks)
	if r.rank >= 0 {
		for _, name := range fleet.Names() {
			r.want(wanted, "watch/"+string(name), lane{kind: WatchPlatform, section: name, wait: true}, now)
		}
		r.want(wanted, "local/0", lane{kind: SyncPeer, peers: local, wait: true, group: "local"}, now)
		for other, vms := range remote {
			r.want(wanted, "domain/"+other, lane{kind: SyncPeer, peers: r.peersOf(vms, localRanks), wait: true}, now)
		}
	} else {
		for _, other := range Domains(snapshot) {
			local = append(local, r.peersOf(remote[other], WatchersPerDomain)...)
		}
		for i, key := range []string{"local/0", "local/1"} {
			if len(local) > i {
				peers := slices.Concat(local[i:], local[:i])
				r.want(wanted, key, lane{kind: SyncPeer, peers: peers, wait: true, group: "local"}, now)
			}
		}
	}
	if !r.ready {
		r.wantStart(wanted, remote, now)
	}
	r.lanes = wanted
}

// wantStart adds the lanes that only a starting node needs: bootstrap peers and watchers of other domains.
func (r *Reader) wantStart(wanted map[string]*lane, remote map[string][]vm.VM, now clock.Millis) {
	var bootstrap []Peer
	for _, address := range r.settings.BootstrapPeers {
		if address != r.settings.PeerAddress {
			bootstrap = append(bootstrap, Peer{Address: address})
		}
	}
	for i := range min(startPeers, len(bootstrap)) {
		peers := slices.Concat(bootstrap[i:], bootstrap[:i])
		r.want(wanted, "bootstrap/"+string(rune('0'+i)), lane{kind: SyncPeer, peers: peers, group: "bootstrap"}, now)
	}
	for other, vms := range remote {
		r.want(wanted, "start/"+other, lane{kind: SyncPeer, peers: r.peersOf(vms, localRanks)}, now)
	}
}

// readLanes returns the lanes that read the platform, which are always there but seldom active.
func (r *Reader) readLanes() map[string]*lane {
	lanes := make(map[string]*lane)
	for _, name := range fleet.Names() {
		key := "read/" + string(name)
		lanes[key] = r.lanes[key]
	}
	return lanes
}

// want keeps an existing lane with new peers, or adds a new one that is due now.
func (r *Reader) want(wanted map[string]*lane, key string, l lane, now clock.Millis) {
	if l.kind == SyncPeer && len(l.peers) == 0 {
		return
	}
	old, ok := r.lanes[key]
	if !ok {
		l.due = now
		wanted[key] = &l
		return
	}
	if !slices.Equal(old.peers, l.peers) {
		old.cursor = max(0, slices.Index(l.peers, old.peers[old.cursor%len(old.peers)]))
		old.peers = l.peers
	}
	wanted[key] = old
}

func (r *Reader) peersOf(vms []vm.VM, limit int) []Peer {
	var peers []Peer
	for _, v := range vms {
		if v.Name != r.settings.Node && len(peers) < limit {
			peers = append(peers, Peer{Name: v.Name, Address: v.PeerAddress})
		}
	}
	return peers
}

// Rank returns the node's rank among the watchers of its domain, or -1 if it is no watcher.
func (r *Reader) Rank() int {
	return r.rank
}

// Next returns the calls to make now. Each action is to be answered by Done; one that is not counts as
// failed after its timeout.
func (r *Reader) Next(now clock.Millis) []Action {
	var actions []Action
	for _, key := range r.keys() {
		l := r.lanes[key]
		if l.inFlight != 0 && now >= l.deadline {
			r.Done(l.inFlight, Reply{}, now)
		}
		if l.inFlight != 0 || now < r.dueOf(l, now) {
			continue
		}
		actions = append(actions, r.start(l, now))
	}
	return actions
}

func (r *Reader) keys() []string {
	keys := make([]string, 0, len(r.lanes))
	for key := range r.lanes {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

func (r *Reader) start(l *lane, now clock.Millis) Action {
	r.nextID++
	action := Action{ID: r.nextID, Kind: l.kind, Section: l.section}
	if l.kind == SyncPeer {
		r.choose(l, now)
		l.asked = l.peers[l.cursor]
		action.Peer = l.asked
	}
	if l.wait && !l.quick {
		action.WaitMs = r.settings.WatchWaitMs
	}
	action.TimeoutMs = action.WaitMs + callTimeoutMs
	l.quick = false
	l.inFlight, l.started, l.deadline = action.ID, now, now+action.TimeoutMs
	return action
}

// choose moves a lane to its next peer: back to the preferred one in time, and past a peer that a lane of
// the same group asks, so that one stale peer does not keep the node back.
func (r *Reader) choose(l *lane, now clock.Millis) {
	if l.cursor > 0 && l.failures == 0 && now >= l.homeAt {
		l.cursor = 0
	}
	l.cursor %= len(l.peers)
	for range l.peers {
		if !r.taken(l) {
			return
		}
		l.cursor = (l.cursor + 1) % len(l.peers)
	}
}

func (r *Reader) taken(l *lane) bool {
	if l.group == "" {
		return false
	}
	for _, other := range r.lanes {
		if other != l && other.group == l.group && other.inFlight != 0 &&
			other.asked == l.peers[l.cursor] {
			return true
		}
	}
	return false
}

// dueOf returns when the lane's next call is due, or clock.Never for a lane that is not active.
func (r *Reader) dueOf(l *lane, now clock.Millis) clock.Millis {
	if l.kind != ReadPlatform {
		return l.due
	}
	if r.vms == 0 && l.section != fleet.VMs {
		return clock.Never // The size of the fleet, and with it the interval, is still unknown.
	}
	if !r.ready && !l.answered {
		return max(l.due, r.startedAt+clock.Millis(l.jitter*float64(r.spread())))
	}
	if !r.PeersSilent() {
		l.active = false
		return clock.Never
	}
	if !l.active {
		// The interval since the last read still counts when peers fall silent again and again.
		l.active = true
		l.due = max(l.due, now+clock.Millis(r.random.Float64()*float64(r.spread())))
	}
	return l.due
}

// spread returns the time over which the reads of all nodes are spread to stay below the cap.
func (r *Reader) spread() clock.Millis {
	if r.vms == 0 {
		return r.settings.StartupTimeoutMs
	}
	return clock.Millis(r.vms*len(fleet.Names())) * 1000 / PlatformReadsPerSecond
}

// PeersSilent reports whether no peer answers, so that the node reads the platform itself.
func (r *Reader) PeersSilent() bool {
	if r.rank >= 0 {
		return false // Watchers ask the platform anyway.
	}
	for _, l := range r.lanes {
		if l.kind == SyncPeer && l.failures < min(silentPeers, len(l.peers)) {
			return false
		}
	}
	return true
}

// Done records how an action ended. The reply to an action that was given up is ignored.
func (r *Reader) Done(id int64, reply Reply, now clock.Millis) {
	for _, l := range r.lanes {
		if l.inFlight == id && id != 0 {
			r.finish(l, reply, now)
		}
	}
}

func (r *Reader) finish(l *lane, reply Reply, now clock.Millis) {
	l.inFlight = 0
	if !reply.Answered {
		l.failures++
		l.due = now + r.backoff(l.failures)
		l.homeAt = now + homeMs
		if l.kind == SyncPeer {
			l.cursor = (l.cursor + 1) % len(l.peers)
		}
	} else {
		l.failures, l.answered = 0, true
		l.due = now
		if !reply.News {
			l.due = max(now, l.started+minGapMs)
		}
		r.noteAnswer(l, reply)
	}
	if l.kind == ReadPlatform {
		// The interval also applies after failures: retries count against the same cap.
		interval := max(minReadIntervalMs, r.spread())
		l.due = now + interval + clock.Millis(r.random.Float64()*float64(interval)/2)
	}
}

// noteAnswer records an answer for the start. A peer that is itself incomplete vouches for nothing.
func (r *Reader) noteAnswer(l *lane, reply Reply) {
	if l.kind == SyncPeer && reply.Complete {
		r.anyAnswer = true
		r.starters[l.asked.Address] = true
	}
	if l.kind != SyncPeer {
		r.anyAnswer = true
		if read, ok := r.lanes["read/"+string(l.section)]; ok {
			read.answered = true
		}
	}
}

// backoff returns a jittered delay that grows exponentially with the number of failures. The first
// failures move on to the next rank after a short delay.
func (r *Reader) backoff(failures int) clock.Millis {
	delay := min(retryMaxMs, retryBaseMs<<min(failures-1, 10))
	return delay/2 + clock.Millis(r.random.Float64()*float64(delay)/2)
}

// Hurry gives up the calls in flight to peers and the platform's watches and asks again at once, without
// waiting at the receiver; it is called after a pause.
func (r *Reader) Hurry(now clock.Millis) {
	for _, l := range r.lanes {
		if l.kind != ReadPlatform {
			l.inFlight, l.quick, l.due = 0, true, now
		}
	}
}

// Ready reports whether the node may serve: all sections are there, and either enough peers and the platform
// answered or the startup timeout is over and at least one of them answered. Once true it stays true.
func (r *Reader) Ready(complete bool, now clock.Millis) bool {
	if r.ready || !complete || !r.anyAnswer {
		return r.ready
	}
	enough := len(r.starters) >= min(startPeers, r.vms-1) && r.platformAnswered()
	r.ready = enough || now-r.startedAt >= r.settings.StartupTimeoutMs
	if r.ready {
		r.dropStartLanes()
	}
	return r.ready
}

func (r *Reader) platformAnswered() bool {
	for _, name := range fleet.Names() {
		if !r.lanes["read/"+string(name)].answered {
			return false
		}
	}
	return true
}

func (r *Reader) dropStartLanes() {
	for key, l := range r.lanes {
		if l.kind == SyncPeer && !l.wait {
			delete(r.lanes, key)
		}
	}
}

// Sources returns the peers that the node asks at present, sorted by name, for operators.
func (r *Reader) Sources() []Peer {
	var peers []Peer
	for _, l := range r.lanes {
		if l.kind == SyncPeer && l.inFlight != 0 {
			peers = append(peers, l.asked)
		}
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name+a.Address, b.Name+b.Address) })
	return slices.Compact(peers)
}
