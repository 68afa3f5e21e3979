package integration

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/target"
)

const (
	overloadSeed           = 3
	overloadRetryAllowance = 2
	failingCalls           = 60
	healthyCallsPerFailing = 4
	callerRetries          = 3
	senderCount            = 12
)

// startOverloadFleet starts the profile with the allowance and a retry budget that never binds before the allowance.
func startOverloadFleet(t *testing.T) *launch.Fleet {
	t.Helper()
	profile := filepath.Join("..", "examples", "sablons")
	data, err := os.ReadFile(filepath.Join(profile, "presets.json"))
	assert.NilError(t, err)
	presets, err := preset.Decode(data)
	assert.NilError(t, err)
	p := presets.ActivePreset()
	p.RetryAllowance, p.RetryBudgetPercent = overloadRetryAllowance, 100
	presets.Presets[presets.Active] = p
	value, err := json.Marshal(presets)
	assert.NilError(t, err)
	f, err := launch.Start(t.Context(), launch.Options{
		Bin: programDir(t), Profile: profile, Work: t.TempDir(), Seed: overloadSeed,
		Values: map[fleet.SectionName]json.RawMessage{fleet.Presets: value},
	})
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()
	assert.NilError(t, f.AwaitReady(ctx))
	return f
}

// sendWithRetries sends the request and, like an impatient caller, sends it again at once to other entries while it fails.
func sendWithRetries(t *testing.T, entries []string, first int, path, key string) {
	for attempt := range 1 + callerRetries {
		entry := entries[(first+attempt)%len(entries)]
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+entry+path, nil)
		if err != nil {
			t.Error(err)
			return
		}
		request.Header.Set("Authorization", "Bearer "+key)
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			continue
		}
		_, err = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if err == nil && response.StatusCode == http.StatusOK {
			return
		}
	}
}

// executionsPerRequest counts the executions of each request at each service. The node appends its own number to the
// request id of the root call.
func executionsPerRequest(entries []journal.Entry) map[string]map[string]int {
	counts := make(map[string]map[string]int)
	for _, e := range entries {
		if e.Event != journal.Start {
			continue
		}
		id, _, _ := strings.Cut(e.RequestID, ".")
		if counts[id] == nil {
			counts[id] = make(map[string]int)
		}
		counts[id][e.Service]++
	}
	return counts
}

// Guards against retries that multiply along the chain: each level that retried by itself would run the deepest service
// up to 27 times for one root call (R1).
func TestRetriesAreBoundedAlongTheChain(t *testing.T) {
	t.Parallel()
	t.Logf("seed=%d", overloadSeed)
	f := startOverloadFleet(t)
	for _, v := range f.VMs {
		if v.Service == f.File.DeepestService {
			assert.NilError(t, v.SetControls(t.Context(), func(c *target.Controls) { c.SlowFactor = 2 }))
		}
	}
	var group sync.WaitGroup
	for sender := range senderCount {
		group.Go(func() {
			random := rand.New(rand.NewPCG(overloadSeed, uint64(sender)))
			for call := range failingCalls / senderCount * (1 + healthyCallsPerFailing) {
				path := fmt.Sprintf("/contracts?token=%d-%d", sender, call)
				if call%(1+healthyCallsPerFailing) == 0 {
					// The deepest service executes the request and breaks off its answer each time.
					path += "&standin-fault=truncated@" + f.File.DeepestService
				}
				sendWithRetries(t, f.Entries(), random.IntN(len(f.VMs)), path, f.Keys.Keys[0].Key)
			}
		})
	}
	group.Wait()
	entries, err := f.Journals()
	assert.NilError(t, err)
	most := make(map[string]int)
	for _, services := range executionsPerRequest(entries) {
		for service, count := range services {
			most[service] = max(most[service], count)
		}
	}
	t.Logf("most executions of one root call by service: %v", most)
	for service, count := range most {
		assert.Assert(t, count <= 1+overloadRetryAllowance, "%s ran one root call %d times", service, count)
	}
	assert.Assert(t, most[f.File.DeepestService] > 1, "no call was retried, so the bound was not tested")
	assert.Assert(t, most["signings"] > 0 && most["riders"] > 0, "the chain is not three deep")
}

const (
	shedLoadMs = 8000
	// shedRateFraction is the part of the accounts' rates that is sent; it stays inside them.
	shedRateFraction = 0.7
	// shedSlowFactor leaves the deepest service room for about a third of the calls that are sent.
	shedSlowFactor = 4
)

// Guards against a once-only operation that is refused for load, at its own gate or in its chain, while lookups are
// admitted (R2). The operations alone are well below the capacity that is left.
func TestOnceOnlyOperationsAreShedLast(t *testing.T) {
	t.Logf("seed=%d", overloadSeed)
	f := startSablonsFleet(t, overloadSeed, map[string]any{"maxClockSkewMs": 100, "seatFenceMs": 1000, "seatFenceMarginMs": 200})
	for _, v := range f.VMs {
		if v.Service == f.File.DeepestService {
			assert.NilError(t, v.SetControls(t.Context(), func(c *target.Controls) { c.SlowFactor = shedSlowFactor }))
		}
	}
	settings := caller.Settings{
		Entries: f.Entries(), Routes: f.File.Load.Routes, DurationMs: shedLoadMs, MaxCalls: 20_000, MaxInFlight: 4000,
		TimeoutMs: callerTimeout.Milliseconds(), Seed: overloadSeed,
	}
	published := publishedAccounts(t, f)
	for _, k := range f.Keys.Keys {
		for _, a := range published.Accounts {
			if a.ID == k.Account {
				settings.Accounts = append(settings.Accounts,
					caller.Account{ID: a.ID, Key: k.Key, RatePerSecond: a.RatePerSecond * shedRateFraction})
			}
		}
	}
	load, err := caller.New(settings)
	assert.NilError(t, err)
	result := load.Run(t.Context())
	refusedLookups := result.Total.ByReason["overloaded"] + result.Total.ByReason["queueTimeout"]
	refused := make(map[string]int)
	for _, o := range result.Operations {
		for _, a := range o.Attempts {
			if a.Verdict != caller.Complete {
				refused[fmt.Sprint(a.Status, " ", a.Reason, " ", a.Outcome)]++
			}
		}
	}
	t.Logf("operations=%d, not complete: %v; all refusals by reason: %v", len(result.Operations), refused, result.Total.ByReason)
	assert.Assert(t, refusedLookups > 0, "no lookup was refused for load, so the order was not tested")
	assert.Assert(t, len(result.Operations) > 100, "too few operations")
	for key, count := range refused {
		assert.Check(t, !strings.Contains(key, "overloaded") && !strings.Contains(key, "queueTimeout") &&
			!strings.HasPrefix(key, "502"), "%d operations were refused for load: %s", count, key)
	}
}
