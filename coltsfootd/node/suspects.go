package node

import (
	"context"
	"time"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/suspect"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/envelope"
	"coltsfootusher.example/peer/peerpb"
)

const (
	noticeTimeout = 500 * time.Millisecond
	// maxNoticePeers limits the messages after one crash; other nodes learn of it through Sync or from a gate's answer.
	maxNoticePeers = 64
)

// buildSuspects creates the guard against requests that crash targets.
func (n *Node) buildSuspects() {
	s := n.settings
	n.suspects = suspect.New(suspect.Config{
		Node: s.NodeName, FailureDomain: s.FailureDomain, Service: s.Service, Target: s.TargetAddress, Snapshots: n.control,
		Membership: n.control, StopPlanned: n.leaving.Load, SendNotices: n.broadcastNotices,
		Logger: logging.WithPart(n.logger, "suspect"),
	})
}

// broadcastNotices sends the notices at once to the nodes of the same service, because only their gates can let the
// request crash another target.
func (n *Node) broadcastNotices(notices []poison.Notice) {
	sent := 0
	for _, v := range n.control.Current().VMsOfService(n.settings.Service) {
		if v.Name == n.settings.NodeName || sent == maxNoticePeers {
			continue
		}
		sent++
		go n.sendNotices(v, notices)
	}
}

func (n *Node) sendNotices(v vm.VM, notices []poison.Notice) {
	ctx, cancel := context.WithTimeout(context.Background(), noticeTimeout)
	defer cancel()
	// A peer that does not answer learns of the crash later, from a sender or through Sync.
	_, _ = n.peerClient.Control(v).Sync(ctx, &peerpb.SyncRequest{
		Node: n.settings.NodeName, Incarnation: n.incarnation, Notices: encodeRequestNotices(notices),
	})
}

func encodeRequestNotices(notices []poison.Notice) []*peerpb.Notice {
	var messages []*peerpb.Notice
	for _, notice := range notices {
		messages = append(messages, &peerpb.Notice{
			Fingerprint: notice.Fingerprint, Crashes: int32(len(notice.Crashes)), Evidence: envelope.EncodeCrashes(notice.Crashes),
		})
	}
	return messages
}

// decodeRequestNotices returns the notices about suspect requests; notices about nodes have no evidence.
func decodeRequestNotices(messages []*peerpb.Notice) []poison.Notice {
	var notices []poison.Notice
	for _, m := range messages {
		if len(m.Evidence) > 0 {
			notices = append(notices, poison.Notice{Fingerprint: m.Fingerprint, Crashes: envelope.DecodeCrashes(m.Evidence)})
		}
	}
	return notices
}
