package integration

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/launch"
)

// delistDelay is the time from SIGTERM until callers remove the node from their list of entries.
const delistDelay = 500 * time.Millisecond

// notRunReasons are the refusal reasons that mean that the request was not run and can be sent to another entry.
var notRunReasons = map[call.Reason]bool{
	call.ReasonLeaving: true, call.ReasonNotReady: true, call.ReasonOverloaded: true, call.ReasonQueueTimeout: true,
	call.ReasonNoTarget: true, call.ReasonConfirmTimeout: true,
}

// Guards against interrupted requests during a rolling restart of all nodes and targets under load. Callers use kept-alive
// connections and send each request only once.
func TestPlannedStopCutsNoRequest(t *testing.T) {
	t.Parallel()
	seed := testSeed(t)
	f := startSablonsFleet(t, seed, nil)
	load := newLookupLoad(t, f, seed, time.Hour, 0.3)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	done := make(chan *caller.Result, 1)
	go func() { done <- load.Run(ctx) }()
	time.Sleep(2 * time.Second)
	for _, group := range restartGroups(f) {
		restartVMs(t, f, load, group)
	}
	time.Sleep(time.Second)
	cancel()
	total := (<-done).Total
	t.Logf("due %d, verdicts %v, refusals %v", total.Due, total.ByVerdict, total.ByReason)
	for _, verdict := range []caller.Verdict{caller.Broken, caller.Truncated, caller.TimedOut, caller.Wrong, caller.Omitted} {
		assert.Check(t, total.ByVerdict[verdict] == 0, "%d calls ended as %s", total.ByVerdict[verdict], verdict)
	}
	for reason, count := range total.ByReason {
		assert.Check(t, notRunReasons[call.Reason(reason)], "%d calls were refused for %s", count, reason)
	}
}

// restartGroups returns groups of VMs to restart together, with at most one VM of each service per group.
func restartGroups(f *launch.Fleet) [][]*launch.VM {
	var groups [][]*launch.VM
	seen := make(map[string]int)
	for _, v := range f.VMs {
		index := seen[v.Service]
		seen[v.Service]++
		if index == len(groups) {
			groups = append(groups, nil)
		}
		groups[index] = append(groups[index], v)
	}
	return groups
}

func restartVMs(t *testing.T, f *launch.Fleet, load *caller.Load, group []*launch.VM) {
	t.Helper()
	leaving := make(map[*launch.VM]bool)
	for _, v := range group {
		leaving[v] = true
	}
	var entries []string
	for _, v := range f.VMs {
		if !leaving[v] {
			entries = append(entries, v.Entry)
		}
	}
	delist := time.AfterFunc(delistDelay, func() { _ = load.SetEntries(entries) })
	defer delist.Stop()
	assert.Assert(t, allVMs(group, func(v *launch.VM) bool {
		err := v.Shutdown()
		assert.Check(t, err == nil, "%s: %v", v.Name, err)
		_ = v.TargetProcess.Stop(callerTimeout)
		return f.StartTarget(t.Context(), v) == nil && f.StartNode(t.Context(), v) == nil
	}))
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitReady(ctx))
	assert.NilError(t, load.SetEntries(f.Entries()))
}
