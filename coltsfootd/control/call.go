package control

import (
	"context"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/platform"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/member"
	"coltsfootusher.example/peer/peerpb"
)

// noticesPerReply bounds the notices in one message.
const noticesPerReply = 64

// pendingCall is a pendingCall in flight.
type pendingCall struct {
	kind   config.CallKind
	cancel context.CancelFunc
}

// noticeCursor is the position in the notices of one incarnation of a peer.
type noticeCursor struct {
	incarnation uint64
	position    int64
}

// startCall makes the call in a goroutine of its own, which reports back with an event.
func (l *Loop) startCall(ctx context.Context, action config.Call, now clock.Millis) {
	callCtx, cancel := context.WithTimeout(ctx, action.TimeoutMs.Duration())
	l.calls[action.ID] = pendingCall{kind: action.Kind, cancel: cancel}
	var finish func(now clock.Millis)
	var work func()
	if action.Kind == config.SyncPeer {
		request, name := l.newSyncRequest(action, now)
		work = func() {
			reply, err := l.Dialer.To(name, action.Peer.Address).Sync(callCtx, request)
			finish = func(done clock.Millis) { l.finishSync(action, name, reply, err, now, done) }
		}
	} else {
		after := l.store.WatchVersion(action.Section)
		work = func() {
			value, changed, err := l.readPlatform(callCtx, action, after)
			finish = func(done clock.Millis) { l.finishRead(action, after, value, changed, err, now, done) }
		}
	}
	go func() {
		defer cancel()
		work()
		l.post(ctx, func(done clock.Millis) {
			delete(l.calls, action.ID)
			finish(done)
		})
	}()
}

func (l *Loop) readPlatform(ctx context.Context, action config.Call, after int64) (platform.Value, bool, error) {
	if action.Kind == config.WatchPlatform {
		return l.Platform.Watch(ctx, action.Section, after, action.WaitMs)
	}
	value, err := l.Platform.Get(ctx, action.Section)
	return value, err == nil, err
}

func (l *Loop) finishRead(
	action config.Call, after int64, value platform.Value, changed bool, err error, sentAt, now clock.Millis,
) {
	if err != nil {
		_ = level.Warn(l.Logger).Log("msg", "platform read failed", "section", action.Section, "err", err)
		l.reader.Done(action.ID, config.CallResult{}, now)
		return
	}
	news := false
	if changed {
		result := l.store.Apply(action.Section, value.Version, value.Value, config.Source{Name: config.Platform}, now)
		news = l.logResults([]config.ApplyResult{result})
	} else {
		l.store.ConfirmPlatform(action.Section, after, now)
	}
	l.reader.Done(action.ID, config.CallResult{Answered: true, Updated: news}, now)
	l.platformSentAt[action.Section] = sentAt
	l.confirmFromPlatform()
}

// confirmFromPlatform ends the hold after a pause once the platform has answered for every section.
func (l *Loop) confirmFromPlatform() {
	earliest := clock.Never
	for _, name := range fleet.SectionNames() {
		earliest = min(earliest, l.platformSentAt[name])
	}
	l.pause.ConfirmVersions(earliest)
}

func (l *Loop) newSyncRequest(action config.Call, now clock.Millis) (*peerpb.SyncRequest, string) {
	name := action.Peer.Name
	if name == "" {
		name = l.bootstrapNames[action.Peer.Address]
	}
	return &peerpb.SyncRequest{
		Node: l.Node, Incarnation: l.Incarnation, Versions: encodeVersions(l.store.RequestVersions(now)),
		WaitMs: int64(action.WaitMs), Cursor: l.cursors[name].position,
	}, name
}

func (l *Loop) finishSync(
	action config.Call, name string, reply *peerpb.SyncReply, err error, sentAt, now clock.Millis,
) {
	if err != nil {
		_ = level.Debug(l.Logger).Log("msg", "peer did not answer", "peer", name, "err", err)
		l.members.RecordFailure(name)
		l.reader.Done(action.ID, config.CallResult{}, now)
		return
	}
	l.recordContact(member.Notice{Node: name, Incarnation: reply.Incarnation}, sentAt, now)
	l.mergeNotices(reply.Notices, now)
	position := reply.Cursor
	if old := l.cursors[name]; old.incarnation != reply.Incarnation && old.position != 0 {
		position = 0 // The request named a position of an earlier incarnation.
	}
	l.cursors[name] = noticeCursor{incarnation: reply.Incarnation, position: position}

	versions := decodeVersions(reply.Versions)
	news, complete := false, len(versions) == len(fleet.SectionNames())
	for _, v := range versions {
		complete = complete && v.Version > 0
		source := config.Source{Name: name, AgeMs: v.AgeMs}
		news = l.logResults(l.store.ApplyUpdates(decodeUpdates(reply.Updates, v.Name), source, now)) || news
	}
	l.store.ConfirmPeer(name, versions, now)
	// After a reply with notices only, the next call must not wait either: more notices may follow at once.
	l.reader.Done(action.ID, config.CallResult{
		Answered: true, Updated: news || len(reply.Notices) > 0, Complete: complete,
	}, now)
	if complete {
		l.pause.ConfirmVersions(sentAt)
	}
}

// recordContact records that a node itself spoke. A new incarnation is news for waiting peers: they send no work to the
// node as long as they know only that its earlier incarnation was leaving.
func (l *Loop) recordContact(notice member.Notice, sentAt, now clock.Millis) {
	before, known := l.members.Peer(notice.Node, now)
	l.members.RecordContact(notice, sentAt, now)
	after, _ := l.members.Peer(notice.Node, now)
	if !known || before.Incarnation != after.Incarnation || before.Leaving != after.Leaving {
		l.hasNews = true
	}
}

// mergeNotices takes the notices about nodes.
func (l *Loop) mergeNotices(notices []*peerpb.Notice, now clock.Millis) {
	var about []member.Notice
	for _, n := range notices {
		if n.Fingerprint == 0 && !l.isFromEarlierIncarnation(n) {
			about = append(about, member.Notice{Node: n.Node, Incarnation: n.Incarnation, Leaving: n.Leaving})
		}
	}
	if len(about) > 0 {
		l.members.MergeNotices(about, now)
		l.hasNews = true
	}
}

// isFromEarlierIncarnation reports a notice about an earlier incarnation of this node, which says nothing about this one.
func (l *Loop) isFromEarlierIncarnation(n *peerpb.Notice) bool {
	return n.Node == l.Node && n.Incarnation != l.Incarnation
}
