package member

import (
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/vm"
)

const (
	// retainMs is the time for which a notice is remembered, well beyond the lag of the VM list.
	retainMs clock.Millis = 600_000
	// spreadMs is the time for which a notice is sent on. It is shorter than retainMs, so that a notice that
	// comes back is still known and does not circulate forever.
	spreadMs clock.Millis = 30_000
	// contactValidMs is the time for which the incarnation of the last contact counts as the current one.
	contactValidMs clock.Millis = 30_000
	// maxIncarnations bounds the incarnations that are remembered per node.
	maxIncarnations = 8
)

// Notice says that an incarnation of a node exists, and whether it is leaving. Incarnations are random, so
// two of them have no order; leaving is never taken back within one incarnation.
type Notice struct {
	Node        string
	Incarnation uint64
	Leaving     bool
}

// Peer describes what is known of a node to operators.
type Peer struct {
	Node string `json:"node"`
	// Incarnation is that of the last contact; 0 if there was none.
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// LastContactMs is the time of the last contact, 0 if there was none.
	LastContactMs clock.Millis `json:"lastContactMs"`
	// Failures is the number of calls that failed since the last contact.
	Failures int `json:"failures"`
}

// Reason says why a node gets no new work.
type Reason string

// The reasons for which a node gets no new work; the empty reason means that it does.
const (
	None             Reason = ""
	PublishedLeaving Reason = "publishedLeaving"
	NoticedLeaving   Reason = "noticedLeaving"
)

// knowledge is what is known of one incarnation.
type knowledge struct {
	leaving bool
	learned clock.Millis
}

type peer struct {
	current      uint64
	contact      clock.Millis
	contacted    bool
	failures     int
	incarnations map[uint64]knowledge
}

// entry is a notice with its position in the list of notices to send on.
type entry struct {
	notice   Notice
	position int64
	learned  clock.Millis
}

// Table holds what is known of each peer. It is used by the control goroutine only.
type Table struct {
	peers    map[string]*peer
	entries  []entry
	position int64
	capacity int
}

// New returns an empty table that keeps at most capacity notices to send on.
func New(capacity int) *Table {
	return &Table{peers: make(map[string]*peer), capacity: max(1, capacity)}
}

// Contact records an answer or a request that came from the node itself. sentAt is the time at which this
// node sent its request, or the time of receipt of the peer's own request; older contacts than the last one
// do not change the current incarnation.
func (t *Table) Contact(notice Notice, sentAt clock.Millis, now clock.Millis) {
	p := t.peer(notice.Node)
	if !p.contacted || sentAt >= p.contact {
		p.current, p.contact, p.contacted, p.failures = notice.Incarnation, sentAt, true, 0
	}
	t.learn(notice, now)
}

// Failed records a call that the node did not answer.
func (t *Table) Failed(node string) {
	t.peer(node).failures++
}

// Merge records notices that were passed on by others. The result does not depend on their order or number.
func (t *Table) Merge(notices []Notice, now clock.Millis) {
	for _, n := range notices {
		t.learn(n, now)
	}
}

func (t *Table) learn(n Notice, now clock.Millis) {
	p := t.peer(n.Node)
	known, ok := p.incarnations[n.Incarnation]
	if ok && (known.leaving || !n.Leaving) {
		return
	}
	p.incarnations[n.Incarnation] = knowledge{leaving: n.Leaving, learned: now}
	p.evict()
	// Live incarnations spread only after a restart; at the start of a fleet they would flood it with notices.
	if n.Leaving || p.knowsLeaving() {
		t.push(n, now)
	}
}

func (p *peer) knowsLeaving() bool {
	for _, k := range p.incarnations {
		if k.leaving {
			return true
		}
	}
	return false
}

// evict drops the incarnation that was learned first when there are too many.
func (p *peer) evict() {
	if len(p.incarnations) <= maxIncarnations {
		return
	}
	var oldest uint64
	found := false
	for incarnation, k := range p.incarnations {
		if incarnation != p.current && (!found || k.learned < p.incarnations[oldest].learned) {
			oldest, found = incarnation, true
		}
	}
	delete(p.incarnations, oldest)
}

// push appends a notice to the list and drops older ones of the same node and those beyond the capacity.
func (t *Table) push(n Notice, now clock.Millis) {
	t.entries = slices.DeleteFunc(t.entries, func(e entry) bool {
		return e.notice.Node == n.Node || now-e.learned > spreadMs
	})
	t.position++
	t.entries = append(t.entries, entry{notice: n, position: t.position, learned: now})
	if excess := len(t.entries) - t.capacity; excess > 0 {
		t.entries = slices.Delete(t.entries, 0, excess)
	}
}

// Since returns at most limit notices after the cursor, oldest first, and the next cursor. A cursor beyond
// the list comes from an earlier incarnation of this node and counts as 0.
func (t *Table) Since(cursor int64, limit int, now clock.Millis) ([]Notice, int64) {
	if cursor > t.position || cursor < 0 {
		cursor = 0
	}
	var notices []Notice
	for _, e := range t.entries {
		if len(notices) == limit {
			return notices, cursor
		}
		if e.position > cursor {
			cursor = e.position
			if now-e.learned <= spreadMs {
				notices = append(notices, e.notice)
			}
		}
	}
	return notices, max(cursor, t.position)
}

// Refuses says why a VM's node gets no new work, or None. The published state counts first, then what the
// node itself or a notice said.
func (t *Table) Refuses(v vm.VM, now clock.Millis) Reason {
	if v.State == vm.Leaving {
		return PublishedLeaving
	}
	if t.Leaving(v.Name, now) {
		return NoticedLeaving
	}
	return None
}

// Leaving reports whether the node's current incarnation is known to be leaving. Without a recent contact
// the current incarnation is unknown: then a leaving notice counts unless another incarnation is known live.
// That choice can send a request to a leaving node, whose gate refuses it as not run; the opposite choice
// would keep work from a restarted node until the notice expires.
func (t *Table) Leaving(node string, now clock.Millis) bool {
	p, ok := t.peers[node]
	if !ok {
		return false
	}
	if p.contacted && now-p.contact <= contactValidMs {
		return p.incarnations[p.current].leaving && !p.restarted()
	}
	leaving := false
	for incarnation, k := range p.incarnations {
		if now-k.learned > retainMs {
			continue
		}
		current := p.contacted && incarnation == p.current
		if !k.leaving && !current {
			return false
		}
		leaving = leaving || k.leaving
	}
	return leaving
}

// restarted reports whether a live incarnation was learned after the leaving of the current one. Without this rule a
// node that a leaving peer told directly would send it no work until contactValidMs after its restart.
func (p *peer) restarted() bool {
	left := p.incarnations[p.current].learned
	for incarnation, k := range p.incarnations {
		if incarnation != p.current && !k.leaving && k.learned >= left {
			return true
		}
	}
	return false
}

// Prune drops what is too old.
func (t *Table) Prune(now clock.Millis) {
	for node, p := range t.peers {
		recent := p.contacted && now-p.contact <= retainMs
		for incarnation, k := range p.incarnations {
			current := recent && incarnation == p.current
			if now-k.learned > retainMs && !current {
				delete(p.incarnations, incarnation)
			}
		}
		if !recent && len(p.incarnations) == 0 {
			delete(t.peers, node)
		}
	}
	t.entries = slices.DeleteFunc(t.entries, func(e entry) bool { return now-e.learned > spreadMs })
}

// Peer returns what is known of a node.
func (t *Table) Peer(node string, now clock.Millis) (Peer, bool) {
	p, ok := t.peers[node]
	if !ok {
		return Peer{}, false
	}
	return Peer{Node: node, Incarnation: p.current, Leaving: t.Leaving(node, now),
		LastContactMs: p.contact, Failures: p.failures}, true
}

func (t *Table) peer(node string) *peer {
	p, ok := t.peers[node]
	if !ok {
		p = &peer{incarnations: make(map[uint64]knowledge)}
		t.peers[node] = p
	}
	return p
}
