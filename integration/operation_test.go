package integration

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/link"
	"coltsfootusher.example/standin/target"
)

// fault is a fault that can be injected at a VM; inject returns the function that repairs it.
type fault struct {
	name   string
	inject func(t *testing.T, f *launch.Fleet, v *launch.VM) (repair func())
}

func restartNode(t *testing.T, f *launch.Fleet, v *launch.VM) {
	t.Helper()
	if err := f.StartNode(t.Context(), v); err != nil {
		logs, _ := os.ReadFile(filepath.Join(f.Options.Work, v.Name+"-node.log"))
		t.Fatalf("%v: %s", err, logs[max(0, len(logs)-1000):])
	}
}

func restartTarget(t *testing.T, f *launch.Fleet, v *launch.VM) {
	t.Helper()
	assert.NilError(t, f.StartTarget(t.Context(), v))
}

func otherDomain(f *launch.Fleet, v *launch.VM) string {
	for _, d := range f.File.FailureDomains {
		if d != v.FailureDomain {
			return d
		}
	}
	return ""
}

var faults = []fault{
	{"node killed", func(t *testing.T, f *launch.Fleet, v *launch.VM) func() {
		v.Node.Kill()
		return func() { restartNode(t, f, v) }
	}},
	{"target killed", func(t *testing.T, f *launch.Fleet, v *launch.VM) func() {
		v.TargetProcess.Kill()
		return func() { restartTarget(t, f, v) }
	}},
	{"node and target killed", func(t *testing.T, f *launch.Fleet, v *launch.VM) func() {
		v.Node.Kill()
		v.TargetProcess.Kill()
		return func() {
			restartTarget(t, f, v)
			restartNode(t, f, v)
		}
	}},
	{"node paused", func(t *testing.T, _ *launch.Fleet, v *launch.VM) func() {
		assert.NilError(t, v.Node.Signal(syscall.SIGSTOP))
		return func() { assert.NilError(t, v.Node.Signal(syscall.SIGCONT)) }
	}},
	{"target paused", func(t *testing.T, _ *launch.Fleet, v *launch.VM) func() {
		assert.NilError(t, v.TargetProcess.Signal(syscall.SIGSTOP))
		return func() { assert.NilError(t, v.TargetProcess.Signal(syscall.SIGCONT)) }
	}},
	{"domain partitioned in both directions", func(_ *testing.T, f *launch.Fleet, v *launch.VM) func() {
		for _, d := range f.File.FailureDomains {
			if d != v.FailureDomain {
				f.Network.CutBoth(v.FailureDomain, d)
			}
		}
		return f.Network.Heal
	}},
	{"domain partitioned in one direction", func(_ *testing.T, f *launch.Fleet, v *launch.VM) func() {
		f.Network.Cut(link.Direction{From: v.FailureDomain, To: otherDomain(f, v)})
		return f.Network.Heal
	}},
	{"node restarted gracefully", func(t *testing.T, f *launch.Fleet, v *launch.VM) func() {
		assert.Check(t, v.Shutdown() == nil, "a graceful shutdown interrupted requests")
		return func() { restartNode(t, f, v) }
	}},
}

const (
	operationTimeout = 800 * time.Millisecond
	// faultDuration is longer than operationTimeout.
	faultDuration = 1100 * time.Millisecond
	settleTime    = 300 * time.Millisecond
	callerCount   = 24
	maxAttempts   = 4
)

// Guards against duplicate executions and false outcomes "notRun" and "done" with faults in any order, while callers retry
// operations at other entries.
func TestNoDuplicateOrFalseOutcomeUnderFaults(t *testing.T) {
	t.Parallel()
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			f := startOperationFleet(t, seed)
			c := newOperationClient(f, fmt.Sprintf("faults-%d", seed))
			stop := make(chan struct{})
			var group sync.WaitGroup
			for i := range callerCount {
				random := rand.New(rand.NewPCG(seed, uint64(i)))
				group.Go(func() { c.sendUntilStopped(random, stop) })
			}
			injectFaults(t, f, rand.New(rand.NewPCG(seed, callerCount)))
			close(stop)
			group.Wait()
			c.resendOperations(seed)
			outcomeCounts := c.checkHistory(t)
			assert.Check(t, outcomeCounts[string(call.OutcomeDone)] > 0)
			assert.Check(t, outcomeCounts[string(call.OutcomeUnknown)] > 0, "no operation was affected by a fault")
		})
	}
}

// injectFaults injects each fault once, in random order. Each fault is repaired when the next one has lasted for half of
// faultDuration.
func injectFaults(t *testing.T, f *launch.Fleet, random *rand.Rand) {
	t.Helper()
	var homeVMs []*launch.VM
	for _, v := range f.VMs {
		if v.Service == "signings" || v.Service == "voids" {
			homeVMs = append(homeVMs, v)
		}
	}
	repair, last := func() {}, -1
	for _, index := range random.Perm(len(faults)) {
		// Two consecutive faults overlap; at the same VM, the second one could meet a process that has ended already.
		chosen := random.IntN(len(homeVMs))
		if chosen == last {
			chosen = (chosen + 1) % len(homeVMs)
		}
		last = chosen
		t.Logf("%s: %s", faults[index].name, homeVMs[chosen].Name)
		next := faults[index].inject(t, f, homeVMs[chosen])
		time.Sleep(faultDuration / 2)
		repair()
		time.Sleep(faultDuration / 2)
		repair = next
	}
	repair()
	time.Sleep(settleTime)
}

// sendUntilStopped sends operations until stop is closed and retries each at other entries until its outcome is final.
func (c *operationClient) sendUntilStopped(random *rand.Rand, stop chan struct{}) {
	kinds, paths := []caller.Kind{caller.Issued, caller.OwnKey}, []string{"/signings", "/voids"}
	for {
		select {
		case <-stop:
			return
		default:
		}
		o := c.newOperation(random, kinds[random.IntN(2)], paths[random.IntN(2)])
		for range maxAttempts {
			if o == nil || o.hasFinalOutcome() {
				break
			}
			c.sendAttempt(o, c.randomEntry(random), operationTimeout)
		}
	}
}

// resendOperations resends all operations without a final outcome, and one in ten of the others.
func (c *operationClient) resendOperations(seed uint64) {
	var group sync.WaitGroup
	for worker := range callerCount {
		group.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(1000+worker)))
			for i := worker; i < len(c.operations); i += callerCount {
				if o := c.operations[i]; !o.hasFinalOutcome() || random.IntN(10) == 0 {
					c.sendAttempt(o, c.randomEntry(random), operationTimeout)
					c.sendAttempt(o, c.randomEntry(random), operationTimeout)
				}
			}
		})
	}
	group.Wait()
}

// Guards against a retry that runs an operation again, or reports it as not run, after its first attempt was interrupted
// during the execution; for a graceful shutdown, also against a lost answer.
func TestRetryAfterFaultDuringExecutionDoesNotRunAgain(t *testing.T) {
	t.Parallel()
	const seed = 11
	f := startOperationFleet(t, seed)
	c := newOperationClient(f, "during")
	random := rand.New(rand.NewPCG(seed, 0))
	for _, fault := range faults {
		t.Run(fault.name, func(t *testing.T) {
			o := c.newOperation(random, caller.Issued, "/signings")
			assert.Assert(t, o != nil)
			unused := c.newOperation(random, caller.Issued, "/signings")
			assert.Assert(t, unused != nil)
			for _, v := range f.VMs {
				if v.Service == "trails" {
					assert.NilError(t, v.SetControls(t.Context(), func(controls *target.Controls) { controls.SlowFactor = 8 }))
				}
			}
			first := make(chan timedAttempt, 1)
			go func() { first <- c.sendAttempt(o, f.VMs[0].Entry, 3*time.Second) }()
			var home *launch.VM
			awaitCondition(t, "a target executes the operation", func() bool {
				home = executingVM(t, f, o)
				return home != nil
			})
			repair := fault.inject(t, f, home)
			time.Sleep(settleTime)
			for _, entry := range []string{f.VMs[1].Entry, f.VMs[5].Entry, f.VMs[9].Entry} {
				r := c.sendAttempt(o, entry, operationTimeout)
				assert.Check(t, r.Outcome != string(call.OutcomeNotRun), "an operation during its execution was reported as not run")
			}
			if fault.name == "node restarted gracefully" {
				r := c.sendAttempt(o, f.VMs[1].Entry, operationTimeout)
				assert.Check(t, r.Outcome == string(call.OutcomeDone) && r.Verdict == caller.Complete, "after the handover: %+v", r)
			}
			repair()
			for _, v := range f.VMs {
				if v.Service == "trails" {
					assert.NilError(t, v.SetControls(t.Context(), func(controls *target.Controls) { controls.SlowFactor = 1 }))
				}
			}
			r := <-first
			t.Logf("first attempt: status %d, outcome %q, reason %q", r.Status, r.Outcome, r.Reason)
			if fault.name == "node restarted gracefully" {
				assert.Check(t, r.Verdict == caller.Complete, "a graceful shutdown lost the answer: %+v", r)
			}
			for _, v := range f.VMs {
				repeated := c.sendAttempt(o, v.Entry, operationTimeout)
				assert.Check(t, repeated.Outcome != string(call.OutcomeNotRun))
				c.sendAttempt(unused, v.Entry, operationTimeout)
			}
		})
	}
	c.checkHistory(t)
}

// executingVM returns the VM whose target has begun to execute the operation, or nil if there is none.
func executingVM(t *testing.T, f *launch.Fleet, o *trackedOperation) *launch.VM {
	t.Helper()
	entries, err := f.Journals()
	assert.NilError(t, err)
	for _, e := range entries {
		if e.Path == o.path && e.Token == o.token {
			return f.VM(e.Target)
		}
	}
	return nil
}

// Guards against operation ids that another account can use or query, and against wrong statuses or outcomes for invalid
// requests.
func TestInvalidOperationRequestsAreRefused(t *testing.T) {
	t.Parallel()
	f := startOperationFleet(t, 12)
	c := newOperationClient(f, "requests")
	first, second := f.Keys.Keys[0].Key, f.Keys.Keys[1].Key
	id := c.issueID(f.VMs[0].Entry, first, "/signings")
	assert.Assert(t, id != "")
	issue := func(route string) string { return caller.IssuePath + "?route=" + url.QueryEscape(route) }
	type headers = map[string]string
	withID := headers{"Operation-Id": id}
	const key = "01890a5d-ac96-774b-bcce-b302099a8057"
	for _, test := range []struct {
		name, key, method, path string
		header                  headers
		status                  int
		outcome                 call.Outcome
	}{
		{"issue without a key", "none", http.MethodPost, issue("/signings"), nil, http.StatusUnauthorized, ""},
		{"issue for an unknown route", first, http.MethodPost, issue("/none"), nil, http.StatusNotFound, ""},
		{"issue for a lookup", first, http.MethodPost, issue("/riders"), nil, http.StatusBadRequest, ""},
		{"issue for a route of another account", first, http.MethodPost, issue("/claims"), nil, http.StatusForbidden, ""},
		{"query", first, http.MethodGet, caller.IssuePath + "/" + id, nil, http.StatusOK, call.OutcomeUnknown},
		{"query by another account", second, http.MethodGet, caller.IssuePath + "/" + id, nil, http.StatusForbidden, ""},
		{"no id", first, http.MethodPost, "/signings", nil, http.StatusBadRequest, call.OutcomeNotRun},
		{"forged id", first, http.MethodPost, "/signings", headers{"Operation-Id": id + "A"},
			http.StatusBadRequest, call.OutcomeNotRun},
		{"id of another route", first, http.MethodPost, "/voids", withID, http.StatusBadRequest, call.OutcomeUnknown},
		{"id of another account", second, http.MethodPost, "/signings", withID, http.StatusBadRequest, call.OutcomeUnknown},
		{"key withdrawn", "none", http.MethodPost, "/signings", withID, http.StatusUnauthorized, call.OutcomeUnknown},
		{"two ids", first, http.MethodPost, "/signings", headers{"Operation-Id": id, "Idempotency-Key": key},
			http.StatusBadRequest, call.OutcomeUnknown},
		{"old key", first, http.MethodPost, "/signings", headers{"Idempotency-Key": key}, http.StatusConflict, call.OutcomeUnknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			status, header, body, err := c.doRequest(f.VMs[3].Entry, test.key, test.method, test.path, nil, test.header, time.Second)
			assert.NilError(t, err)
			assert.Check(t, status == test.status, "status %d, want %d: %v %s", status, test.status, header, body)
			assert.Check(t, header.Get(caller.OutcomeHeader) == string(test.outcome), "outcome %q", header.Get(caller.OutcomeHeader))
		})
	}
	ctx, cancel := context.WithTimeout(t.Context(), conditionTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitReady(ctx))
	status, header, _, err := c.doRequest(f.VMs[0].Entry, first, http.MethodPost, "/signings?token=own", nil,
		map[string]string{"Operation-Id": id}, 2*time.Second)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK)
	assert.Equal(t, header.Get(caller.OutcomeHeader), string(call.OutcomeDone))
}
