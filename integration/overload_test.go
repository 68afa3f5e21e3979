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

// startOverloadFleet starts the fleet of Sablons with overloadRetryAllowance and a retry budget that is never exhausted first.
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

// sendWithRetries sends the request and, while it fails, retries it at other entries without a delay.
func sendWithRetries(t *testing.T, entries []string, firstEntry int, path, key string) {
	for attempt := range 1 + callerRetries {
		entry := entries[(firstEntry+attempt)%len(entries)]
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

// executionsPerRequest counts the executions of each request by service. The request id of an inner call is that of its root
// call with a suffix.
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

// Guards against retries that multiply along the call chain: if each level retried independently, one root call would be
// executed up to 27 times at the deepest service (R1).
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
					// The deepest service executes the request and truncates its answer each time.
					path += "&standin-fault=truncated@" + f.File.DeepestService
				}
				sendWithRetries(t, f.Entries(), random.IntN(len(f.VMs)), path, f.Keys.Keys[0].Key)
			}
		})
	}
	group.Wait()
	entries, err := f.Journals()
	assert.NilError(t, err)
	maxExecutions := make(map[string]int)
	for _, services := range executionsPerRequest(entries) {
		for service, count := range services {
			maxExecutions[service] = max(maxExecutions[service], count)
		}
	}
	t.Logf("maximum executions of one root call by service: %v", maxExecutions)
	for service, count := range maxExecutions {
		assert.Assert(t, count <= 1+overloadRetryAllowance, "%s executed one root call %d times", service, count)
	}
	assert.Assert(t, maxExecutions[f.File.DeepestService] > 1, "no call was retried, so the limit was not tested")
	assert.Assert(t, maxExecutions["signings"] > 0 && maxExecutions["riders"] > 0, "the call chain has less than three levels")
}

const (
	shedLoadMs = 8000
	// shedRateFraction is the load as a fraction of the accounts' rates, so that no call is refused for its rate.
	shedRateFraction = 0.7
	// shedSlowFactor leaves the deepest service capacity for about a third of the calls that are sent.
	shedSlowFactor = 4
)

// Guards against a non-idempotent operation that is refused for overload, at its own gate or further down its call chain,
// while lookups are admitted (R2). The operations alone need much less than the remaining capacity.
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
	assert.Assert(t, refusedLookups > 0, "no lookup was refused for overload, so the order was not tested")
	assert.Assert(t, len(result.Operations) > 100, "too few operations")
	for key, count := range refused {
		assert.Check(t, !strings.Contains(key, "overloaded") && !strings.Contains(key, "queueTimeout") &&
			!strings.HasPrefix(key, "502"), "%d operations were refused for overload: %s", count, key)
	}
}
