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

// noticesPerReply bounds the notices in one reply.
const noticesPerReply = 64

// pendingCall is an outgoing call whose result is awaited.
type pendingCall struct {
	kind   config.CallKind
	cancel context.CancelFunc
}

// noticeCursor is the position up to which the notices of one incarnation of a peer have been received.
type noticeCursor struct {
	incarnation uint64
	position    int64
}

// startCall makes the call in a goroutine of its own and posts the result as an event.
func (l *Loop) startCall(ctx context.Context, call config.Call, now clock.Millis) {
	callCtx, cancel := context.WithTimeout(ctx, call.TimeoutMs.Duration())
	l.calls[call.ID] = pendingCall{kind: call.Kind, cancel: cancel}
	var finish func(now clock.Millis)
	var work func()
	if call.Kind == config.SyncPeer {
		request, name := l.newSyncRequest(call, now)
		work = func() {
			reply, err := l.Dialer.To(name, call.Peer.Address).Sync(callCtx, request)
			finish = func(done clock.Millis) { l.finishSync(call, name, reply, err, now, done) }
		}
	} else {
		after := l.store.WatchVersion(call.Section)
		work = func() {
			value, changed, err := l.readPlatform(callCtx, call, after)
			finish = func(done clock.Millis) { l.finishRead(call, after, value, changed, err, now, done) }
		}
	}
	go func() {
		defer cancel()
		work()
		l.post(ctx, func(done clock.Millis) {
			delete(l.calls, call.ID)
			finish(done)
		})
	}()
}

func (l *Loop) readPlatform(ctx context.Context, call config.Call, after int64) (platform.Value, bool, error) {
	if call.Kind == config.WatchPlatform {
		return l.Platform.Watch(ctx, call.Section, after, call.WaitMs)
	}
	value, err := l.Platform.Get(ctx, call.Section)
	return value, err == nil, err
}

func (l *Loop) finishRead(
	call config.Call, after int64, value platform.Value, changed bool, err error, sentAt, now clock.Millis,
) {
	if err != nil {
		_ = level.Warn(l.Logger).Log("msg", "platform read failed", "section", call.Section, "err", err)
		l.reader.Done(call.ID, config.CallResult{}, now)
		return
	}
	updated := false
	if changed {
		result := l.store.Apply(call.Section, value.Version, value.Value, config.Source{Name: config.Platform}, now)
		updated = l.logResults([]config.ApplyResult{result})
	} else {
		l.store.ConfirmPlatform(call.Section, after, now)
	}
	l.reader.Done(call.ID, config.CallResult{Answered: true, Updated: updated}, now)
	l.platformSentAt[call.Section] = sentAt
	l.confirmFromPlatform()
}

// confirmFromPlatform lets requests continue after a pause once the platform has answered for every section.
func (l *Loop) confirmFromPlatform() {
	earliest := clock.Never
	for _, name := range fleet.SectionNames() {
		earliest = min(earliest, l.platformSentAt[name])
	}
	l.pause.ConfirmVersions(earliest)
}

func (l *Loop) newSyncRequest(call config.Call, now clock.Millis) (*peerpb.SyncRequest, string) {
	name := call.Peer.Name
	if name == "" {
		name = l.bootstrapNames[call.Peer.Address]
	}
	return &peerpb.SyncRequest{
		Node: l.Node, Incarnation: l.Incarnation, Versions: encodeVersions(l.store.RequestVersions(now)),
		WaitMs: int64(call.WaitMs), Cursor: l.cursors[name].position,
	}, name
}

func (l *Loop) finishSync(
	call config.Call, name string, reply *peerpb.SyncReply, err error, sentAt, now clock.Millis,
) {
	if err != nil {
		_ = level.Debug(l.Logger).Log("msg", "peer did not answer", "peer", name, "err", err)
		l.members.RecordFailure(name)
		l.reader.Done(call.ID, config.CallResult{}, now)
		return
	}
	l.recordContact(member.Notice{Node: name, Incarnation: reply.Incarnation}, sentAt, now)
	l.mergeNotices(reply.Notices, now)
	position := reply.Cursor
	if previous := l.cursors[name]; previous.incarnation != reply.Incarnation && previous.position != 0 {
		position = 0 // The request had the cursor of an earlier incarnation.
	}
	l.cursors[name] = noticeCursor{incarnation: reply.Incarnation, position: position}

	versions := decodeVersions(reply.Versions)
	updated, complete := false, len(versions) == len(fleet.SectionNames())
	for _, v := range versions {
		complete = complete && v.Version > 0
		source := config.Source{Name: name, AgeMs: v.AgeMs}
		updated = l.logResults(l.store.ApplyUpdates(decodeUpdates(reply.Updates, v.Name), source, now)) || updated
	}
	l.store.ConfirmPeer(name, versions, now)
	// A reply with notices alone must not delay the next call either: more notices may follow at once.
	l.reader.Done(call.ID, config.CallResult{
		Answered: true, Updated: updated || len(reply.Notices) > 0, Complete: complete,
	}, now)
	if complete {
		l.pause.ConfirmVersions(sentAt)
	}
}

// recordContact records that the node itself sent a message. Waiting peers must learn of a new incarnation: they send
// no work to the node as long as they only know that its earlier incarnation was leaving.
func (l *Loop) recordContact(notice member.Notice, sentAt, now clock.Millis) {
	before, known := l.members.Peer(notice.Node, now)
	l.members.RecordContact(notice, sentAt, now)
	after, _ := l.members.Peer(notice.Node, now)
	if !known || before.Incarnation != after.Incarnation || before.Leaving != after.Leaving {
		l.hasUpdates = true
	}
}

// mergeNotices merges the notices about nodes.
func (l *Loop) mergeNotices(notices []*peerpb.Notice, now clock.Millis) {
	var nodeNotices []member.Notice
	for _, n := range notices {
		if n.Fingerprint == 0 && !l.isFromEarlierIncarnation(n) {
			nodeNotices = append(nodeNotices, member.Notice{Node: n.Node, Incarnation: n.Incarnation, Leaving: n.Leaving})
		}
	}
	if len(nodeNotices) > 0 {
		l.members.MergeNotices(nodeNotices, now)
		l.hasUpdates = true
	}
}

// isFromEarlierIncarnation reports whether the notice is about an earlier incarnation of this node. Such a notice says
// nothing about the current one.
func (l *Loop) isFromEarlierIncarnation(n *peerpb.Notice) bool {
	return n.Node == l.Node && n.Incarnation != l.Incarnation
}
