package integration

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/platform"
)

const (
	readyTimeout = 30 * time.Second
	pollInterval = 20 * time.Millisecond
	// callerTimeout is far above all delays that tests allow, so that a test fails on its own limit.
	callerTimeout = 10 * time.Second
)

// testSeed logs and returns the seed in COLTSFOOTUSHER_SEED, or 1 if it is not set.
func testSeed(t *testing.T) uint64 {
	t.Helper()
	seed, err := strconv.ParseUint(os.Getenv("COLTSFOOTUSHER_SEED"), 10, 64)
	if err != nil {
		seed = 1
	}
	t.Logf("seed %d", seed)
	return seed
}

// programDir returns the directory with the compiled programs.
func programDir(t *testing.T) string {
	t.Helper()
	bin := os.Getenv("COLTSFOOTUSHER_BIN")
	if bin == "" {
		t.Fatal("COLTSFOOTUSHER_BIN must be the directory with the compiled programs; make test sets it")
	}
	return bin
}

// workDir returns a temporary directory that is kept if the test fails, because it contains the logs.
func workDir(t *testing.T) string {
	t.Helper()
	work, err := os.MkdirTemp("", "coltsfootusher-test-")
	assert.NilError(t, err)
	t.Cleanup(func() {
		if t.Failed() {
			t.Logf("logs and journals are in %s", work)
		} else {
			_ = os.RemoveAll(work)
		}
	})
	return work
}

// startSablonsFleet starts the fleet of Sablons and waits until every node is ready.
func startSablonsFleet(t *testing.T, seed uint64, settings map[string]any) *launch.Fleet {
	t.Helper()
	f, err := launch.Start(t.Context(), launch.Options{
		Bin: programDir(t), Profile: "../examples/sablons", Work: workDir(t), Seed: seed, NodeSettings: settings,
	})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), readyTimeout)
	defer cancel()
	assert.NilError(t, f.AwaitReady(ctx))
	return f
}

// awaitWithin waits until the condition holds and returns the elapsed time. It fails the test after the limit.
func awaitWithin(t *testing.T, limit time.Duration, description string, condition func() bool) time.Duration {
	t.Helper()
	begin := time.Now()
	for !condition() {
		if time.Since(begin) > limit {
			t.Fatalf("condition not met within %s: %s", limit, description)
		}
		time.Sleep(pollInterval)
	}
	return time.Since(begin)
}

// allVMs reports whether the condition holds for every VM. It is evaluated for all VMs concurrently.
func allVMs(vms []*launch.VM, condition func(v *launch.VM) bool) bool {
	var group sync.WaitGroup
	results := make([]bool, len(vms))
	for i, v := range vms {
		group.Go(func() { results[i] = condition(v) })
	}
	group.Wait()
	return !slices.Contains(results, false)
}

// vmsByDomain returns the VMs in the failure domain, or those outside it.
func vmsByDomain(f *launch.Fleet, domain string, inside bool) []*launch.VM {
	var vms []*launch.VM
	for _, v := range f.VMs {
		if (v.FailureDomain == domain) == inside {
			vms = append(vms, v)
		}
	}
	return vms
}

// nodeStatuses returns the status of each node by VM name.
func nodeStatuses(t *testing.T, f *launch.Fleet) map[string]launch.Status {
	t.Helper()
	result := make(map[string]launch.Status)
	for _, v := range f.VMs {
		s, err := v.Status(t.Context())
		assert.NilError(t, err)
		result[v.Name] = s
	}
	return result
}

// withdrawKeys publishes the accounts without the keys of the account.
func withdrawKeys(t *testing.T, f *launch.Fleet, id string) {
	t.Helper()
	published, _ := f.Platform.Current(string(fleet.Accounts))
	section, err := account.Decode(published.Value)
	assert.NilError(t, err)
	for i := range section.Accounts {
		if section.Accounts[i].ID == id {
			section.Accounts[i].KeyHashes = nil
		}
	}
	value, err := json.Marshal(section)
	assert.NilError(t, err)
	_, err = f.Platform.Publish(string(fleet.Accounts), value, platform.AnyVersion)
	assert.NilError(t, err)
}

// keyProbe checks whether an entry accepts a key, by a query for an operation that does not exist on a kept-alive connection.
type keyProbe struct {
	client *http.Client
	entry  string
	key    string
}

func newKeyProbes(f *launch.Fleet, key string) map[string]keyProbe {
	probes := make(map[string]keyProbe)
	for _, v := range f.VMs {
		client := &http.Client{Transport: &http.Transport{MaxConnsPerHost: 1}, Timeout: callerTimeout}
		probes[v.Name] = keyProbe{client, v.Entry, key}
	}
	return probes
}

// responseStatus sends the query and returns the status code of the response, or 0 if there was none.
func (p keyProbe) responseStatus() int {
	request, err := http.NewRequest(http.MethodGet, "http://"+p.entry+"/.coltsfoot/operations/none", nil)
	if err != nil {
		return 0
	}
	request.Header.Set(caller.KeyHeader, "Bearer "+p.key)
	response, err := p.client.Do(request)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode
}

// newLookupLoad returns a load of lookups from all accounts, each at a fraction of its rate.
func newLookupLoad(t *testing.T, f *launch.Fleet, seed uint64, duration time.Duration, share float64) *caller.Load {
	t.Helper()
	published, _ := f.Platform.Current(string(fleet.Accounts))
	section, err := account.Decode(published.Value)
	assert.NilError(t, err)
	s := caller.Settings{
		Entries: f.Entries(), DurationMs: duration.Milliseconds(), MaxCalls: 100_000, MaxInFlight: 2000,
		TimeoutMs: callerTimeout.Milliseconds(), Seed: seed, ClientDelayMs: f.File.ClientDelayMs,
	}
	for _, r := range f.File.Load.Routes {
		if r.Kind == caller.Lookup {
			s.Routes = append(s.Routes, r)
		}
	}
	for i, k := range f.Keys.Keys {
		rate := section.Accounts[i].RatePerSecond * share
		s.Accounts = append(s.Accounts, caller.Account{ID: k.Account, Key: k.Key, RatePerSecond: rate})
	}
	l, err := caller.New(s)
	assert.NilError(t, err)
	return l
}
