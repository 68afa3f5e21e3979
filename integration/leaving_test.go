package integration

import (
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/platform"
	"coltsfootusher.example/standin/target"
)

// maxLeavingDelay is the time after which a leaving target must get no new requests.
const maxLeavingDelay = 3 * time.Second

// Guards against new requests to a target that drains while the VM list is outdated, whose node is shutting down, or whose
// node was killed.
func TestLeavingTargetGetsNoNewWork(t *testing.T) {
	t.Parallel()
	seed := testSeed(t)
	f := startSablonsFleet(t, seed, nil)
	f.Platform.SetVMListLag(10 * time.Second)
	drained, stopped, killed := f.VM("trails-a1"), f.VM("riders-b1"), f.VM("riders-c1")
	load := newLookupLoad(t, f, seed, 10*time.Second, 0.2)
	done := make(chan *caller.Result, 1)
	go func() { done <- load.Run(t.Context()) }()
	time.Sleep(2 * time.Second)
	var entries []string
	for _, v := range f.VMs {
		if v != stopped && v != killed {
			entries = append(entries, v.Entry)
		}
	}
	assert.NilError(t, load.SetEntries(entries))

	since := time.Now()
	assert.NilError(t, drained.SetControls(t.Context(), func(c *target.Controls) { c.Draining = true }))
	_, err := f.Platform.Publish(string(fleet.VMs), f.VMList(map[string]vm.State{
		drained.Name: vm.Leaving, stopped.Name: vm.Leaving,
	}), platform.AnyVersion)
	assert.NilError(t, err)
	assert.NilError(t, killed.Node.Signal(syscall.SIGKILL))
	assert.NilError(t, stopped.Shutdown())
	result := <-done
	t.Logf("callers: %v %v", result.Total.ByVerdict, result.Total.ByReason)

	journalEntries, err := f.Journals()
	assert.NilError(t, err)
	for _, v := range []*launch.VM{drained, stopped, killed} {
		before, late, last := countStarts(journalEntries, v.Name, since)
		t.Logf("%s: %d executions before it left, the last %s after it", v.Name, before, last)
		assert.Check(t, before > 0, "%s got no requests before it left", v.Name)
		assert.Check(t, late == 0, "%s got %d requests more than %s after it left", v.Name, late, maxLeavingDelay)
	}
	assert.Check(t, result.Total.ByVerdict[caller.Complete] > 0)
}

// countStarts counts the executions that began before the time and those that began more than maxLeavingDelay after it, and
// returns the time from since to the last one.
func countStarts(entries []journal.Entry, target string, since time.Time) (before, late int, last time.Duration) {
	for _, e := range entries {
		if e.Target != target || e.Event != journal.Start {
			continue
		}
		after := time.UnixMilli(e.AtUnixMs).Sub(since)
		last = max(last, after)
		if after < 0 {
			before++
		}
		if after > maxLeavingDelay {
			late++
		}
	}
	return before, late, last
}
