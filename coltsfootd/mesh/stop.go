package mesh

import (
	"context"
	"time"

	"github.com/go-kit/log/level"
)

const (
	// stopDelay is the time for which the node still accepts requests after it was told to stop. The platform needs two failed
	// readiness probes, one second apart, before it sends callers to other nodes.
	stopDelay = 2300 * time.Millisecond
	// graceMargin is the part of the grace period that is reserved for the exit of the process.
	graceMargin        = 400 * time.Millisecond
	activePollInterval = 20 * time.Millisecond
)

// stop shuts the node down: the node reports that it is not ready and announces to its peers that it is leaving, accepts
// requests until callers have moved to other nodes, and completes the active requests.
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
	// The local target makes inner calls at the entry address until the requests that it runs have ended.
	for n.entryServer.Active() > 0 && ctx.Err() == nil {
		time.Sleep(activePollInterval)
	}
	errEntry := n.entryServer.Shutdown(ctx)
	for _, s := range n.plainServers {
		_ = s.Close()
	}
	_ = level.Info(n.logger).Log("part", "node", "msg", "node stopped", "entryErr", errEntry, "peerErr", errPeer)
	return nil
}
