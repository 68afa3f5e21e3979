package member

import (
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/vm"
)

const (
	// noticeRetentionMs is the time for which a notice is remembered. It is much longer than the delay of the VM list.
	noticeRetentionMs clock.Millis = 600_000
	// noticeForwardMs is the time for which a notice is forwarded to peers. It is shorter than noticeRetentionMs, so that a
	// notice that comes back is still known and is not forwarded forever.
	noticeForwardMs clock.Millis = 30_000
	// contactValidMs is the time for which the incarnation of the last contact counts as the current one.
	contactValidMs clock.Millis = 30_000
	// maxIncarnations limits the incarnations that are remembered per node.
	maxIncarnations = 8
)

// Notice says that an incarnation of a node exists and whether it is leaving. Incarnations are random numbers, so their order
// says nothing about which one is newer. An incarnation that is leaving never becomes live again.
type Notice struct {
	Node        string
	Incarnation uint64
	Leaving     bool
}

// PeerStatus describes a node in the status report.
type PeerStatus struct {
	Node string `json:"node"`
	// Incarnation is the incarnation of the last contact, or 0 if there was none.
	Incarnation uint64 `json:"incarnation"`
	Leaving     bool   `json:"leaving"`
	// LastContactMs is the time of the last contact, or 0 if there was none.
	LastContactMs clock.Millis `json:"lastContactMs"`
	// Failures is the number of failed calls since the last contact.
	Failures int `json:"failures"`
}

// Reason says why a node gets no new work.
type Reason string

// The reasons why a node gets no new work; None means that it gets new work.
const (
	None             Reason = ""
	PublishedLeaving Reason = "publishedLeaving"
	NoticedLeaving   Reason = "noticedLeaving"
)

// incarnationState is what is known about one incarnation.
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

// queuedNotice is a notice to forward, with its position in the sequence of all queued notices.
type queuedNotice struct {
	notice    Notice
	position  int64
	learnedAt clock.Millis
}

// Table holds what is known about each peer. Only the control goroutine may use it.
type Table struct {
	peers        map[string]*peerState
	queue        []queuedNotice
	lastPosition int64
	capacity     int
}

// New returns an empty table that queues at most capacity notices for forwarding.
func New(capacity int) *Table {
	return &Table{peers: make(map[string]*peerState), capacity: max(1, capacity)}
}

// RecordContact records an answer or a request that came from the node itself. sentAt is the time at which this node sent the
// request that was answered, or the time of receipt of the peer's own request. A contact that is older than the last one
// does not change the current incarnation.
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

// MergeNotices records notices forwarded by other nodes. The result does not depend on their order or on duplicates.
func (t *Table) MergeNotices(notices []Notice, now clock.Millis) {
	for _, notice := range notices {
		t.recordNotice(notice, now)
	}
}

func (t *Table) recordNotice(notice Notice, now clock.Millis) {
	p := t.getOrAddPeer(notice.Node)
	known, ok := p.incarnations[notice.Incarnation]
	if ok && (known.leaving || !notice.Leaving) {
		return
	}
	p.incarnations[notice.Incarnation] = incarnationState{leaving: notice.Leaving, learnedAt: now}
	p.evictIncarnation()
	// A live incarnation is forwarded only if the node has left before. Otherwise, the start of a fleet would flood it with
	// notices.
	if notice.Leaving || p.hasLeavingIncarnation() {
		t.enqueue(notice, now)
	}
}

func (p *peerState) hasLeavingIncarnation() bool {
	for _, state := range p.incarnations {
		if state.leaving {
			return true
		}
	}
	return false
}

// evictIncarnation drops the oldest incarnation other than the current one if there are too many.
func (p *peerState) evictIncarnation() {
	if len(p.incarnations) <= maxIncarnations {
		return
	}
	var oldest uint64
	found := false
	for incarnation, state := range p.incarnations {
		if incarnation != p.currentIncarnation && (!found || state.learnedAt < p.incarnations[oldest].learnedAt) {
			oldest, found = incarnation, true
		}
	}
	delete(p.incarnations, oldest)
}

// enqueue queues a notice and drops expired notices, older ones of the same node, and those beyond the capacity.
func (t *Table) enqueue(notice Notice, now clock.Millis) {
	t.queue = slices.DeleteFunc(t.queue, func(queued queuedNotice) bool {
		return queued.notice.Node == notice.Node || now-queued.learnedAt > noticeForwardMs
	})
	t.lastPosition++
	t.queue = append(t.queue, queuedNotice{notice: notice, position: t.lastPosition, learnedAt: now})
	if excess := len(t.queue) - t.capacity; excess > 0 {
		t.queue = slices.Delete(t.queue, 0, excess)
	}
}

// NoticesSince returns at most limit notices after the cursor, oldest first, and the next cursor. A cursor beyond the queue
// was issued by an earlier incarnation of this node and counts as 0.
func (t *Table) NoticesSince(cursor int64, limit int, now clock.Millis) ([]Notice, int64) {
	if cursor > t.lastPosition || cursor < 0 {
		cursor = 0
	}
	var notices []Notice
	for _, queued := range t.queue {
		if len(notices) == limit {
			return notices, cursor
		}
		if queued.position > cursor {
			cursor = queued.position
			if now-queued.learnedAt <= noticeForwardMs {
				notices = append(notices, queued.notice)
			}
		}
	}
	return notices, max(cursor, t.lastPosition)
}

// ExclusionReason returns why the node of a VM gets no new work, or None. The published state takes precedence over notices
// and over what the node itself said.
func (t *Table) ExclusionReason(v vm.VM, now clock.Millis) Reason {
	if v.State == vm.Leaving {
		return PublishedLeaving
	}
	if t.IsLeaving(v.Name, now) {
		return NoticedLeaving
	}
	return None
}

// IsLeaving reports whether the node's current incarnation is known to be leaving. Without a recent contact, the current
// incarnation is unknown; then the node counts as leaving if there is a leaving notice, unless an incarnation other than
// the last contacted one is known to be live. This may send a request to a leaving node, whose gate refuses it as not run.
// The opposite choice would keep work from a restarted node until the notice expires.
func (t *Table) IsLeaving(node string, now clock.Millis) bool {
	p, ok := t.peers[node]
	if !ok {
		return false
	}
	if p.contacted && now-p.lastContact <= contactValidMs {
		return p.incarnations[p.currentIncarnation].leaving && !p.restartNoticed()
	}
	leaving := false
	for incarnation, state := range p.incarnations {
		if now-state.learnedAt > noticeRetentionMs {
			continue
		}
		current := p.contacted && incarnation == p.currentIncarnation
		if !state.leaving && !current {
			return false
		}
		leaving = leaving || state.leaving
	}
	return leaving
}

// restartNoticed reports whether a live incarnation became known after the current one was known to be leaving. Without this
// rule, a node that received the leaving notice directly from its peer would send that peer no work until contactValidMs
// after the restart.
func (p *peerState) restartNoticed() bool {
	leavingSince := p.incarnations[p.currentIncarnation].learnedAt
	for incarnation, state := range p.incarnations {
		if incarnation != p.currentIncarnation && !state.leaving && state.learnedAt >= leavingSince {
			return true
		}
	}
	return false
}

// Prune drops expired notices, incarnations and peers.
func (t *Table) Prune(now clock.Millis) {
	for node, p := range t.peers {
		recent := p.contacted && now-p.lastContact <= noticeRetentionMs
		for incarnation, state := range p.incarnations {
			current := recent && incarnation == p.currentIncarnation
			if now-state.learnedAt > noticeRetentionMs && !current {
				delete(p.incarnations, incarnation)
			}
		}
		if !recent && len(p.incarnations) == 0 {
			delete(t.peers, node)
		}
	}
	t.queue = slices.DeleteFunc(t.queue, func(queued queuedNotice) bool { return now-queued.learnedAt > noticeForwardMs })
}

// Peer returns the status of a node; false means that nothing is known about it.
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
