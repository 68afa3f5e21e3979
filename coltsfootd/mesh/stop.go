package mesh

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
)

const (
	// maxStopDelay is the time for which the node still accepts requests after it was told to stop. The platform needs two failed
	// readiness probes, one second apart, before it sends callers to other nodes.
	maxStopDelay = 2300 * time.Millisecond
	// maxDelayShare is the part of the grace period for which requests are accepted at most, so that they can still end in it.
	maxDelayShare = 0.5
	// graceMargin is the part of the grace period that is reserved for the exit of the process.
	graceMargin        = 400 * time.Millisecond
	activePollInterval = 20 * time.Millisecond
	// answerMargin is the time before the end of the process by which a response must be there to be passed on.
	answerMargin = 200 * time.Millisecond
)

// stop shuts the node down: the node reports that it is not ready and announces to its peers that it is leaving, accepts
// requests until callers have moved to other nodes, and completes the active requests. Requests that still wait at a gate, here
// or at another node, are refused when they can no longer end in time.
func (n *Node) stop() error {
	grace := n.settings.GraceSeconds.Duration() - graceMargin
	deadline := time.Now().Add(grace)
	answerBy := n.clock.Now() + clock.FromDuration(grace-answerMargin)
	n.leaving.Store(true)
	_ = level.Info(n.logger).Log("part", "node", "msg", "node is stopping", "running", n.entryServer.Active()+n.peerServer.Active())
	n.handler.CloseConnections()
	n.handler.Sender.StopBy(answerBy)
	n.limitWaits(answerBy)
	time.Sleep(stopDelay(grace))
	// Nodes that missed the first announcement, and requests that began to wait just then, must know in time.
	n.limitWaits(answerBy)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	n.handler.RefuseCallers()
	waiting := n.admission.Load().Waiting
	errPeer := n.peerServer.Shutdown(ctx)
	// The local target makes inner calls at the entry address until the requests that it runs have ended.
	for n.entryServer.Active() > 0 && ctx.Err() == nil {
		time.Sleep(activePollInterval)
	}
	errEntry := n.entryServer.Shutdown(ctx)
	for _, s := range n.plainServers {
		_ = s.Close()
	}
	_ = level.Info(n.logger).Log("part", "node", "msg", "node stopped", "waitingWhenClosed", waiting,
		"cutAtEntry", n.entryServer.Active(), "cutAtPeerAddress", n.peerServer.Active(), "entryErr", errEntry, "peerErr", errPeer)
	return nil
}

// limitWaits ends the waits at the gates, here and at other nodes, of requests whose responses can't be passed on by the time.
func (n *Node) limitWaits(answerBy clock.Millis) {
	n.runner.LimitSender(gate.AnySender, answerBy)
	n.directory.AnnounceLeaving(answerBy - n.clock.Now())
}

// stopDelay returns the time for which a node with the grace period still accepts requests.
func stopDelay(grace time.Duration) time.Duration {
	return min(maxStopDelay, time.Duration(maxDelayShare*float64(grace)))
}
