package control

import (
	"context"

	"github.com/twitchtv/twirp"

	"coltsfootusher.example/coltsfootd/peerserver"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/member"
	"coltsfootusher.example/peer/peerpb"
)

// maxWaitMs is the longest time for which a Sync call of a peer waits.
const maxWaitMs clock.Millis = 60_000

// syncWaiter is a Sync call of a peer that waits for updates or notices.
type syncWaiter struct {
	versions []config.SectionVersion
	cursor   int64
	deadline clock.Millis
	reply    chan *peerpb.SyncReply
}

// Sync returns the updates since the versions in the request, and new notices. If there are none, it waits for some.
func (l *Loop) Sync(ctx context.Context, r *peerpb.SyncRequest) (*peerpb.SyncReply, error) {
	if err := checkSender(ctx, r.Node); err != nil {
		return nil, err
	}
	w := &syncWaiter{versions: decodeVersions(r.Versions), cursor: r.Cursor, reply: make(chan *peerpb.SyncReply, 1)}
	if !l.post(ctx, func(now clock.Millis) { l.receiveSync(w, r, now) }) {
		return nil, twirp.NewError(twirp.Unavailable, "the node stops")
	}
	select {
	case reply := <-w.reply:
		if reply == nil {
			return nil, twirp.NewError(twirp.Unavailable, "the node was paused and has not confirmed its versions")
		}
		return reply, nil
	case <-ctx.Done():
		l.post(context.WithoutCancel(ctx), func(clock.Millis) { delete(l.waiters, w) })
		return nil, twirp.NewError(twirp.Canceled, "the peer has gone")
	case <-l.stopped:
		return nil, twirp.NewError(twirp.Unavailable, "the node stops")
	}
}

// checkSender refuses a request that names a different node than the one that signed it.
func checkSender(ctx context.Context, node string) error {
	if sender := peerserver.SenderFromContext(ctx); sender != node {
		return twirp.NewErrorf(twirp.PermissionDenied, "node %q sent a request of node %q", sender, node)
	}
	return nil
}

func (l *Loop) receiveSync(w *syncWaiter, r *peerpb.SyncRequest, now clock.Millis) {
	l.recordContact(member.Notice{Node: r.Node, Incarnation: r.Incarnation}, now, now)
	l.mergeNotices(r.Notices, now)
	w.deadline = now + min(maxWaitMs, max(0, clock.Millis(r.WaitMs)))
	if l.pause.State().HoldsRequests(now) {
		// After a pause, this node cannot confirm that its versions are current.
		w.reply <- nil
		return
	}
	l.waiters[w] = struct{}{}
	l.answerIfDue(w, now, true)
}

func (l *Loop) answerWaiters(now clock.Millis) {
	for w := range l.waiters {
		l.answerIfDue(w, now, l.hasUpdates)
	}
	l.hasUpdates = false
}

// answerIfDue replies if there are updates or notices for the peer, its wait has timed out, or this node is leaving,
// because long polls must not delay the shutdown. It looks for updates and notices only if mayHaveUpdates is set.
func (l *Loop) answerIfDue(w *syncWaiter, now clock.Millis, mayHaveUpdates bool) {
	due := l.leaving || now >= w.deadline
	if !due && !mayHaveUpdates {
		return
	}
	updates := l.store.UpdatesFor(w.versions)
	notices, next := l.members.NoticesSince(w.cursor, noticesPerReply, now)
	if !due && len(updates) == 0 && len(notices) == 0 {
		return
	}
	delete(l.waiters, w)
	w.reply <- &peerpb.SyncReply{
		Node: l.Node, Incarnation: l.Incarnation, Versions: encodeVersions(l.store.Versions(now)),
		Updates: encodeUpdates(updates), Notices: encodeNotices(notices), Cursor: next,
	}
}
