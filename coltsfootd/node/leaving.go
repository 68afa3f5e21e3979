package node

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log/level"
	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/vm"
)

const (
	// announceTimeout limits the time for announcing to peers that the node is leaving.
	announceTimeout = 500 * time.Millisecond
	// noticePropagationTime is the time in which the announcement reaches the other nodes through their watchers. The gate
	// still admits calls meanwhile, so that peers seldom get a refusal, which uses up one of a caller's retries.
	noticePropagationTime = 300 * time.Millisecond
	// refusalPeriod is the time for which the listeners stay open and answer with "Connection: close", so that callers
	// learn of the shutdown before connections are refused.
	refusalPeriod    = 1500 * time.Millisecond
	idlePollInterval = 10 * time.Millisecond
)

// Reasons for which the gate refuses new work.
const (
	drainNodeLeaving      = "nodeLeaves"
	drainTargetDraining   = "targetDrains"
	drainPublishedLeaving = "publishedLeaving"
)

// drainState holds the reasons for draining and makes the gate refuse new work while there is one.
type drainState struct {
	admission *gateway.Admission

	mu      sync.Mutex
	reasons map[string]bool
}

// setReason adds or removes a reason and reports whether the set of reasons changed.
func (d *drainState) setReason(reason string, active bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reasons[reason] == active {
		return false
	}
	if active {
		d.reasons[reason] = true
	} else {
		delete(d.reasons, reason)
	}
	leaving := len(d.reasons) > 0
	d.admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision { return g.SetLeaving(leaving, now) })
	return true
}

func (d *drainState) sortedReasons() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return slices.Sorted(maps.Keys(d.reasons))
}

// setDrainReason adds or removes a reason and logs the change.
func (n *Node) setDrainReason(reason string, active bool) {
	if n.drainState.setReason(reason, active) {
		_ = level.Info(logging.WithPart(n.logger, "gate")).Log("msg", "drain state changed", "reason", reason, "refuses", active)
	}
}

// applyPublishedVMState refuses new work while the published list shows this VM as leaving.
func (n *Node) applyPublishedVMState(snapshot *fleet.Snapshot) {
	ownVM, ok := snapshot.VM(n.settings.NodeName)
	n.setDrainReason(drainPublishedLeaving, ok && ownVM.State == vm.Leaving)
}

// TargetDraining refuses new work while the target's health endpoint reports that the target is draining.
func (n *Node) TargetDraining(draining bool) {
	n.setDrainReason(drainTargetDraining, draining)
}

// TargetStarted begins the slow start of a target that was restarted.
func (n *Node) TargetStarted() {
	_ = level.Info(logging.WithPart(n.logger, "gate")).Log("msg", "target answers again, slow start begins")
	n.admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		g.TargetStarted(now)
		return nil
	})
}

// shutdown announces the stop to peers and callers, waits for queued and running calls, and then closes the servers:
// entry first, and egress only after the gate is idle, so that inner calls of requests in flight are served.
func (n *Node) shutdown() error {
	_ = level.Info(n.logger).Log("part", "node", "msg", "shutdown started")
	startedAt := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeoutMs.Duration())
	defer cancel()
	n.leaving.Store(true)
	n.entry.SetLeaving()
	announceCtx, cancelAnnounce := context.WithTimeout(ctx, announceTimeout)
	n.control.AnnounceLeaving(announceCtx)
	cancelAnnounce()
	sleep(ctx, noticePropagationTime)
	n.setDrainReason(drainNodeLeaving, true)
	n.operations.Leave()
	for _, srv := range n.servers {
		srv.drainServer.CloseAfterAnswer()
	}
	n.awaitIdle(ctx, startedAt.Add(refusalPeriod))
	var failures errs.Group
	// The peer server is still open, so that peers can query outcomes during the handover.
	failures.Add(n.closeOperations(ctx))
	// No caller's call is left, so no more tokens are needed.
	n.limits.Close(ctx)
	for _, srv := range n.servers {
		if err := srv.drainServer.Shutdown(ctx); err != nil {
			failures.Add(Error.New("%s: requests were aborted after drainTimeoutMs: %v", srv.name, err))
		}
	}
	_ = level.Info(n.logger).Log("part", "node", "msg", "shutdown finished", "elapsedMs", time.Since(startedAt).Milliseconds())
	return failures.Err()
}

// awaitIdle waits until earliest has passed and no request is queued or running, or until ctx ends.
func (n *Node) awaitIdle(ctx context.Context, earliest time.Time) {
	sleep(ctx, time.Until(earliest))
	for ctx.Err() == nil && !n.idle() {
		sleep(ctx, idlePollInterval)
	}
}

func (n *Node) idle() bool {
	for _, srv := range n.servers {
		if srv.name != operatorServer && srv.drainServer.Active() > 0 {
			return false
		}
	}
	load := n.admission.Load()
	return load.Running == 0 && load.Waiting == 0 && n.inFlight.Len() == 0
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
