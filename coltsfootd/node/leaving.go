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
	// announceTimeout bounds the time for telling peers that the node is leaving.
	announceTimeout = 500 * time.Millisecond
	// noticePropagationTime is the time in which the notice reaches the other nodes through their watchers. The gate still
	// admits calls meanwhile, so that peers seldom meet a refusal that costs one of a caller's retries.
	noticePropagationTime = 300 * time.Millisecond
	// refusalPeriod is the time for which the listeners stay open and answer with "Connection: close", so that callers
	// learn of the stop before they meet a closed listener.
	refusalPeriod    = 1500 * time.Millisecond
	idlePollInterval = 10 * time.Millisecond
)

// The reasons for which the gate refuses new work.
const (
	drainNodeLeaving      = "nodeLeaves"
	drainTargetDraining   = "targetDrains"
	drainPublishedLeaving = "publishedLeaving"
)

// drainState makes the gate refuse new work while there is a reason for it.
type drainState struct {
	admission *gateway.Admission

	mu      sync.Mutex
	reasons map[string]bool
}

// setReason adds or removes a reason and reports whether that changed anything.
func (d *drainState) setReason(reason string, on bool) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reasons[reason] == on {
		return false
	}
	if on {
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
func (n *Node) setDrainReason(reason string, on bool) {
	if n.drainState.setReason(reason, on) {
		_ = level.Info(logging.WithPart(n.logger, "gate")).Log("msg", "drain state changed", "reason", reason, "refuses", on)
	}
}

// applyPublishedVMState refuses new work while the published list shows this VM as leaving.
func (n *Node) applyPublishedVMState(snapshot *fleet.Snapshot) {
	own, ok := snapshot.VM(n.settings.NodeName)
	n.setDrainReason(drainPublishedLeaving, ok && own.State == vm.Leaving)
}

// TargetDraining refuses new work while the target's health endpoint reports that it drains.
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

// shutdown tells peers and callers, finishes what waits and runs, and then closes the servers; entry first and
// egress after the gate is idle, so that inner calls of requests in flight are served.
func (n *Node) shutdown() error {
	_ = level.Info(n.logger).Log("part", "node", "msg", "shutdown started")
	begin := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeoutMs.Duration())
	defer cancel()
	n.leaving.Store(true)
	n.entry.SetLeaving()
	announcing, stop := context.WithTimeout(ctx, announceTimeout)
	n.control.AnnounceLeaving(announcing)
	stop()
	sleep(ctx, noticePropagationTime)
	n.setDrainReason(drainNodeLeaving, true)
	n.operations.Leave()
	for _, srv := range n.servers {
		srv.drainServer.CloseAfterAnswer()
	}
	n.awaitIdle(ctx, begin.Add(refusalPeriod))
	var failures errs.Group
	// The peers can still ask for outcomes while the table is handed over.
	failures.Add(n.closeOperations(ctx))
	// No caller's call is left, so no token is needed.
	n.limits.Close(ctx)
	for _, srv := range n.servers {
		if err := srv.drainServer.Shutdown(ctx); err != nil {
			failures.Add(Error.New("%s: requests were cut after drainTimeoutMs: %v", srv.name, err))
		}
	}
	_ = level.Info(n.logger).Log("part", "node", "msg", "shutdown finished", "elapsedMs", time.Since(begin).Milliseconds())
	return failures.Err()
}

// awaitIdle waits until the time has come and nothing waits or runs, at most until ctx ends.
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
