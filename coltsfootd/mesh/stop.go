package mesh

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// stopDelay is the time after an order to stop for which the node accepts requests: the platform needs two missed
	// questions, a second apart, to send callers elsewhere.
	stopDelay = 2300 * time.Millisecond
	// graceMargin is the part of the grace time that is left for the end of the process.
	graceMargin        = 400 * time.Millisecond
	activePollInterval = 20 * time.Millisecond
)

// stop ends the node: it is no longer ready, tells its peers, goes on serving until callers have gone elsewhere, and
// finishes what runs.
func (n *Node) stop() error {
	deadline := time.Now().Add(n.settings.GraceSeconds.Duration() - graceMargin)
	n.leaving.Store(true)
	_ = level.Info(n.logger).Log("part", "node", "msg", "node is stopping", "running", n.entryServer.Active()+n.peerServer.Active())
	n.directory.AnnounceLeaving()
	n.handler.CloseConnections()
	time.Sleep(stopDelay)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.handler.RefuseCallers()
	errPeer := n.peerServer.Shutdown(ctx)
	// Calls of the local target arrive at the entry until the requests that it runs have ended.
	for n.entryServer.Active() > 0 && ctx.Err() == nil {
		time.Sleep(activePollInterval)
	}
	errEntry := n.entryServer.Shutdown(ctx)
	for _, s := range n.plainServers {
		_ = s.Close()
	}
	_ = level.Info(n.logger).Log("part", "node", "msg", "node has stopped", "entryErr", errEntry, "peerErr", errPeer)
	return nil
}
