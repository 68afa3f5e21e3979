package mesh

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/crash"
	"coltsfootusher.example/core/vm"
)

const crashTimeout = 400 * time.Millisecond

// targetLeaving reports whether the target list shows the local target as leaving or no longer contains it.
func (n *Node) targetLeaving() bool {
	v := n.directory.View()
	if v == nil {
		return true
	}
	own, ok := n.ownTarget(v)
	return !ok || own.State != vm.Live
}

// sendCrashNotice sends the notice to all reachable nodes of this node's service: only their targets could still run the request.
func (n *Node) sendCrashNotice(notice crash.Notice) {
	v := n.directory.View()
	if v == nil {
		return
	}
	for _, other := range v.VMsOfService(n.settings.Service) {
		if other.PeerAddress == n.settings.PeerAddress || !n.peers.Reachable(other.PeerAddress) {
			continue
		}
		go func() {
			if err := n.peers.Call(context.Background(), other.PeerAddress, crash.NoticePath, crashTimeout, notice, nil); err != nil {
				_ = level.Info(n.logger).Log("part", "crash", "msg", "crash notice not delivered", "peer", other.PeerAddress, "err", err)
			}
		}()
	}
}
