package mesh

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/crash"
	"coltsfootusher.example/core/vm"
)

const crashTimeout = 400 * time.Millisecond

// targetLeaving reports whether the local target is published as leaving, or is not published any more.
func (n *Node) targetLeaving() bool {
	v := n.directory.View()
	if v == nil {
		return true
	}
	own, ok := n.ownTarget(v)
	return !ok || own.State != vm.Live
}

// sendCrashNotice tells the nodes of the own service, since only they can let the requests crash another target.
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
				_ = level.Info(n.logger).Log("part", "crash", "msg", "peer was not told of a crash", "peer", other.PeerAddress, "err", err)
			}
		}()
	}
}
