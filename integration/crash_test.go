package integration

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/target"
)

const (
	crashLoadTime           = 8 * time.Second
	crashLoadRatePerSecond  = 20
	crashingRequestInterval = 50 * time.Millisecond
	crashingRequests        = 60
	targetRestartDelay      = 20 * time.Millisecond
	// maxCrashesPerDomain is the number of targets that a request may crash in each failure domain before the whole fleet
	// refuses it.
	maxCrashesPerDomain = 2
)

// restartDeadTargets restarts crashed targets until stop is closed, as the platform does, and returns the number of crashes.
func restartDeadTargets(t *testing.T, f *launch.Fleet, stop chan struct{}) *atomic.Int64 {
	t.Helper()
	var deaths atomic.Int64
	var group sync.WaitGroup
	for _, v := range f.VMs {
		group.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-v.TargetProcess.Done():
				}
				deaths.Add(1)
				time.Sleep(targetRestartDelay)
				if err := f.StartTarget(t.Context(), v); err != nil {
					t.Errorf("target of %s: %v", v.Name, err)
					return
				}
			}
		})
	}
	t.Cleanup(group.Wait)
	return &deaths
}

// Guards against a request that crashes one target after the other because its caller keeps sending it, and against
// refusing the other requests that were in flight when a target crashed.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	t.Parallel()
	for _, test := range []struct {
		name, path string
		seed       uint64
	}{
		{"at the first target", "/riders?token=crasher&standin-fault=crash", 31},
		{"at an inner target", "/contracts?token=crasher&standin-fault=crash@riders", 32},
		{"as an operation", "/signings?token=crasher&standin-fault=crash", 33},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startOperationFleet(t, test.seed)
			stop := make(chan struct{})
			deaths := restartDeadTargets(t, f, stop)
			defer close(stop)
			settings := caller.Settings{
				Entries: f.Entries(), DurationMs: crashLoadTime.Milliseconds(), MaxCalls: 20_000, MaxInFlight: 2000,
				TimeoutMs: 3000, Seed: test.seed,
				Routes: []caller.Route{
					{Kind: caller.Lookup, Method: http.MethodGet, Path: "/riders", Weight: 4},
					{Kind: caller.Lookup, Method: http.MethodGet, Path: "/contracts", Weight: 2},
					{Kind: caller.Issued, Method: http.MethodPost, Path: "/signings", Weight: 2},
				},
			}
			for _, k := range f.Keys.Keys {
				a := caller.Account{ID: k.Account, Key: k.Key, RatePerSecond: crashLoadRatePerSecond}
				settings.Accounts = append(settings.Accounts, a)
			}
			load, err := caller.New(settings)
			assert.NilError(t, err)
			loadDone := make(chan *caller.Result, 1)
			go func() { loadDone <- load.Run(t.Context()) }()
			reasons := sendCrashingRequests(f, test.path)
			result := <-loadDone
			t.Logf("%d targets crashed; results of the crashing request: %v", deaths.Load(), reasons)
			t.Logf("other requests: due %d, verdicts %v, refusals %v", result.Total.Due, result.Total.ByVerdict, result.Total.ByReason)
			assert.Check(t, deaths.Load() >= 2, "the request crashed too few targets to be recognized as the cause")
			assert.Check(t, deaths.Load() <= int64(maxCrashesPerDomain*len(f.File.FailureDomains)))
			assert.Check(t, reasons[string(call.ReasonPoisonRequest)] > 0, "the crashing request was never refused")
			assert.Check(t, result.Total.ByReason[string(call.ReasonPoisonRequest)] == 0, "a harmless request was refused")
			entries, err := f.Journals()
			assert.NilError(t, err)
			loadEntries, executionsByID := separateCrashingRequests(entries)
			comparison := caller.Compare(result.Operations, loadEntries, isNonIdempotent)
			assert.Check(t, comparison.OK(), "%+v", comparison)
			for id, executions := range executionsByID {
				assert.Check(t, executions == 1, "the crashing operation %s was executed %d times", id, executions)
			}
		})
	}
}

// separateCrashingRequests returns the entries of the load and the number of executions of each crashing operation. Crashing
// operations have different ids but the same token, which separates them from the load.
func separateCrashingRequests(entries []journal.Entry) ([]journal.Entry, map[string]int) {
	var loadEntries []journal.Entry
	executionsByID := make(map[string]int)
	for _, e := range entries {
		switch {
		case e.Token != "crasher":
			loadEntries = append(loadEntries, e)
		case e.Event == journal.Start && isNonIdempotent(e.Path):
			executionsByID[e.OperationID]++
		}
	}
	return loadEntries, executionsByID
}

// sendCrashingRequests sends the request to one entry after the other and counts the refusal reasons. If the request crashes
// an inner target, the reason is the one that the outer target received.
func sendCrashingRequests(f *launch.Fleet, path string) map[string]int {
	c := newOperationClient(f, "crasher")
	reasons := make(map[string]int)
	for i := range crashingRequests {
		time.Sleep(crashingRequestInterval)
		entry, key := f.VMs[i%len(f.VMs)].Entry, f.Keys.Keys[0].Key
		method, id := http.MethodGet, map[string]string(nil)
		if isNonIdempotent(strings.SplitN(path, "?", 2)[0]) {
			// Each request has a new operation id, so that only the content shows that the requests are the same.
			method, id = http.MethodPost, map[string]string{target.OperationIDHeader: c.issueID(entry, key, "/signings")}
		}
		status, header, _, err := c.doRequest(entry, key, method, path, nil, id, time.Second)
		switch {
		case err != nil:
			reasons["broken"]++
		case header.Get(target.ReasonHeader) != "":
			reasons[header.Get(target.ReasonHeader)]++
		case header.Get(target.InnerReasonHeader) != "":
			reasons[header.Get(target.InnerReasonHeader)]++
		default:
			reasons[fmt.Sprintf("status %d", status)]++
		}
	}
	return reasons
}
