package mesh

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// leaveTime is the time after an order to stop for which the node accepts requests: the platform needs two missed
	// questions, a second apart, to send callers elsewhere.
	leaveTime = 2300 * time.Millisecond
	// graceMargin is the part of the grace time that is left for the end of the process.
	graceMargin = 400 * time.Millisecond
	idlePoll    = 20 * time.Millisecond
)

// stop ends the node: it is no longer ready, tells its peers, goes on serving until callers have gone elsewhere, and
// finishes what runs.
func (n *Node) stop() error {
	deadline := time.Now().Add(n.settings.GraceSeconds.Duration() - graceMargin)
	n.leaving.Store(true)
	_ = level.Info(n.logger).Log("part", "node", "msg", "node is stopping", "running", n.entry.Active()+n.peer.Active())
	n.directory.AnnounceLeaving()
	n.handler.CloseConnections()
	time.Sleep(leaveTime)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.handler.RefuseCallers()
	errPeer := n.peer.Shutdown(ctx)
	// Calls of the local target arrive at the entry until the requests that it runs have ended.
	for n.entry.Active() > 0 && ctx.Err() == nil {
		time.Sleep(idlePoll)
	}
	errEntry := n.entry.Shutdown(ctx)
	for _, s := range n.plain {
		_ = s.Close()
	}
	_ = level.Info(n.logger).Log("part", "node", "msg", "node has stopped", "entryErr", errEntry, "peerErr", errPeer)
	return nil
}
