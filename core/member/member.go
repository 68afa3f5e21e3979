package member

import (
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/vm"
)

const (
	// noticeRetentionMs is the time for which a notice is remembered, well beyond the lag of the VM list.
	noticeRetentionMs clock.Millis = 600_000
	// noticeForwardMs is the time for which a notice is sent on. It is shorter than retainMs, so that a notice that
	// comes back is still known and does not circulate forever.
	noticeForwardMs clock.Millis = 30_000
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

// PeerStatus describes what is known of a node to operators.
type PeerStatus struct {
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

// incarnationState is what is known of one incarnation.
type incarnationState struct {
	leaving   bool
	learnedAt clock.Millis
}

type peerState struct {
	currentIncarnation uint64
	lastContact        clock.Millis
	contacted          bool
	failures           int
	incarnations       map[uint64]incarnationState
}

// queuedNotice is a notice with its position in the list of notices to send on.
type queuedNotice struct {
	notice    Notice
	position  int64
	learnedAt clock.Millis
}

// Table holds what is known of each peer. It is used by the control goroutine only.
type Table struct {
	peers        map[string]*peerState
	queue        []queuedNotice
	lastPosition int64
	capacity     int
}

// New returns an empty table that keeps at most capacity notices to send on.
func New(capacity int) *Table {
	return &Table{peers: make(map[string]*peerState), capacity: max(1, capacity)}
}

// RecordContact records an answer or a request that came from the node itself. sentAt is the time at which this
// node sent its request, or the time of receipt of the peer's own request; older contacts than the last one
// do not change the current incarnation.
func (t *Table) RecordContact(notice Notice, sentAt clock.Millis, now clock.Millis) {
	p := t.getOrAddPeer(notice.Node)
	if !p.contacted || sentAt >= p.lastContact {
		p.currentIncarnation, p.lastContact, p.contacted, p.failures = notice.Incarnation, sentAt, true, 0
	}
	t.recordNotice(notice, now)
}

// RecordFailure records a call that the node did not answer.
func (t *Table) RecordFailure(node string) {
	t.getOrAddPeer(node).failures++
}

// MergeNotices records notices that were passed on by others. The result does not depend on their order or number.
func (t *Table) MergeNotices(notices []Notice, now clock.Millis) {
	for _, n := range notices {
		t.recordNotice(n, now)
	}
}

func (t *Table) recordNotice(n Notice, now clock.Millis) {
	p := t.getOrAddPeer(n.Node)
	known, ok := p.incarnations[n.Incarnation]
	if ok && (known.leaving || !n.Leaving) {
		return
	}
	p.incarnations[n.Incarnation] = incarnationState{leaving: n.Leaving, learnedAt: now}
	p.evictIncarnation()
	// Live incarnations spread only after a restart; at the start of a fleet they would flood it with notices.
	if n.Leaving || p.hasLeavingIncarnation() {
		t.enqueue(n, now)
	}
}

func (p *peerState) hasLeavingIncarnation() bool {
	for _, k := range p.incarnations {
		if k.leaving {
			return true
		}
	}
	return false
}

// evictIncarnation drops the incarnation that was learned first when there are too many.
func (p *peerState) evictIncarnation() {
	if len(p.incarnations) <= maxIncarnations {
		return
	}
	var oldest uint64
	found := false
	for incarnation, k := range p.incarnations {
		if incarnation != p.currentIncarnation && (!found || k.learnedAt < p.incarnations[oldest].learnedAt) {
			oldest, found = incarnation, true
		}
	}
	delete(p.incarnations, oldest)
}

// enqueue appends a notice to the list and drops older ones of the same node and those beyond the capacity.
func (t *Table) enqueue(n Notice, now clock.Millis) {
	t.queue = slices.DeleteFunc(t.queue, func(e queuedNotice) bool {
		return e.notice.Node == n.Node || now-e.learnedAt > noticeForwardMs
	})
	t.lastPosition++
	t.queue = append(t.queue, queuedNotice{notice: n, position: t.lastPosition, learnedAt: now})
	if excess := len(t.queue) - t.capacity; excess > 0 {
		t.queue = slices.Delete(t.queue, 0, excess)
	}
}

// NoticesSince returns at most limit notices after the cursor, oldest first, and the next cursor. A cursor beyond
// the list comes from an earlier incarnation of this node and counts as 0.
func (t *Table) NoticesSince(cursor int64, limit int, now clock.Millis) ([]Notice, int64) {
	if cursor > t.lastPosition || cursor < 0 {
		cursor = 0
	}
	var notices []Notice
	for _, e := range t.queue {
		if len(notices) == limit {
			return notices, cursor
		}
		if e.position > cursor {
			cursor = e.position
			if now-e.learnedAt <= noticeForwardMs {
				notices = append(notices, e.notice)
			}
		}
	}
	return notices, max(cursor, t.lastPosition)
}

// ExclusionReason says why a VM's node gets no new work, or None. The published state counts first, then what the
// node itself or a notice said.
func (t *Table) ExclusionReason(v vm.VM, now clock.Millis) Reason {
	if v.State == vm.Leaving {
		return PublishedLeaving
	}
	if t.IsLeaving(v.Name, now) {
		return NoticedLeaving
	}
	return None
}

// IsLeaving reports whether the node's current incarnation is known to be leaving. Without a recent contact
// the current incarnation is unknown: then a leaving notice counts unless another incarnation is known live.
// That choice can send a request to a leaving node, whose gate refuses it as not run; the opposite choice
// would keep work from a restarted node until the notice expires.
func (t *Table) IsLeaving(node string, now clock.Millis) bool {
	p, ok := t.peers[node]
	if !ok {
		return false
	}
	if p.contacted && now-p.lastContact <= contactValidMs {
		return p.incarnations[p.currentIncarnation].leaving && !p.restartNoticed()
	}
	leaving := false
	for incarnation, k := range p.incarnations {
		if now-k.learnedAt > noticeRetentionMs {
			continue
		}
		current := p.contacted && incarnation == p.currentIncarnation
		if !k.leaving && !current {
			return false
		}
		leaving = leaving || k.leaving
	}
	return leaving
}

// restartNoticed reports whether a live incarnation was learned after the leaving of the current one. Without this rule a
// node that a leaving peer told directly would send it no work until contactValidMs after its restart.
func (p *peerState) restartNoticed() bool {
	left := p.incarnations[p.currentIncarnation].learnedAt
	for incarnation, k := range p.incarnations {
		if incarnation != p.currentIncarnation && !k.leaving && k.learnedAt >= left {
			return true
		}
	}
	return false
}

// Prune drops what is too old.
func (t *Table) Prune(now clock.Millis) {
	for node, p := range t.peers {
		recent := p.contacted && now-p.lastContact <= noticeRetentionMs
		for incarnation, k := range p.incarnations {
			current := recent && incarnation == p.currentIncarnation
			if now-k.learnedAt > noticeRetentionMs && !current {
				delete(p.incarnations, incarnation)
			}
		}
		if !recent && len(p.incarnations) == 0 {
			delete(t.peers, node)
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(e queuedNotice) bool { return now-e.learnedAt > noticeForwardMs })
}

// Peer returns what is known of a node.
func (t *Table) Peer(node string, now clock.Millis) (PeerStatus, bool) {
	p, ok := t.peers[node]
	if !ok {
		return PeerStatus{}, false
	}
	return PeerStatus{Node: node, Incarnation: p.currentIncarnation, Leaving: t.IsLeaving(node, now),
		LastContactMs: p.lastContact, Failures: p.failures}, true
}

func (t *Table) getOrAddPeer(node string) *peerState {
	p, ok := t.peers[node]
	if !ok {
		p = &peerState{incarnations: make(map[uint64]incarnationState)}
		t.peers[node] = p
	}
	return p
}
