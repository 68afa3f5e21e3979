package mesh_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
)

// Guards against passing the caller's key, or the account and service that it claims, to a target, and against changing the
// answer.
func TestTargetsSeeNoKeysOrClaimsOfCallers(t *testing.T) {
	f := newFleet(t, "riders", "voids")
	response := f.send(t, 0, http.MethodPost, "/voids/1?q=%2f", "secret", "the body")
	assert.Equal(t, response.status, http.StatusOK)
	got := f.targets[1].lastRequest()
	assert.Equal(t, got.uri, "/voids/1?q=%2f")
	assert.Equal(t, got.body, "the body")
	assert.Equal(t, got.header.Get("Account"), "a1")
	assert.Equal(t, got.header.Get("Caller"), "riders")
	assert.Equal(t, got.header.Get("Key"), "")
	assert.Equal(t, got.header.Get("Target"), f.targets[1].id)
	assert.Equal(t, response.body, f.targets[1].id+" ran it")
}

// Guards against running requests that have no valid key or no route.
func TestRequestsWithoutValidKeyOrRouteDoNotRun(t *testing.T) {
	f := newFleet(t, "voids")
	for path, want := range map[string]int{"/voids/1": http.StatusUnauthorized, "/none/": http.StatusNotFound} {
		assert.Equal(t, f.send(t, 0, http.MethodGet, path, "wrong", "").status, want, path)
	}
	assert.Equal(t, f.targets[0].runs.Load(), int64(0))
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/open/1", "", "").status, http.StatusOK)
}

// Guards against a request that matches a shorter prefix because the row of its own route can't be read, and against a final
// refusal of a key that may be valid. Both are refused with status 503, which says that nothing ran and allows a retry.
func TestRequestsOfUnreadableRowsAreRefusedAsRetryable(t *testing.T) {
	f := newFleet(t, "voids")
	p := testPolicy()
	p.Version = 9
	p.Routes = append(p.Routes, route.Route{Prefix: "/voids/blocked/", Class: route.NonIdempotent, MaxTargets: 1, Blocked: true})
	p.AccountsIncomplete = true
	f.platform.setPolicy(p)
	f.waitForStatus(t, 0, "/voids/blocked/1", "secret", http.StatusServiceUnavailable)
	f.waitForStatus(t, 0, "/voids/1", "other", http.StatusServiceUnavailable)
	before := f.targets[0].runs.Load()
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/voids/blocked/1", "secret", "").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.targets[0].runs.Load(), before)
	f.waitForStatus(t, 0, "/voids/1", "secret", http.StatusOK)
}

// Guards against treating an unreadable policy as an outage of the platform: the previous policy is used only until its lease
// ends, since the new one may revoke keys.
func TestUnreadablePolicyIsNotUsedAfterItsLease(t *testing.T) {
	f := newFleet(t, "voids")
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/voids/1", "secret", "").status, http.StatusOK)
	f.platform.unreadable.Store(true)
	f.waitForStatus(t, 0, "/voids/1", "secret", http.StatusServiceUnavailable)
	f.platform.unreadable.Store(false)
	f.waitForStatus(t, 0, "/voids/1", "secret", http.StatusOK)
}

// Guards against accepting a key at a node that can't learn that the key was revoked, and against refusing it after the
// platform has recovered.
func TestKeyStopsWorkingWhenThePolicyCannotBeConfirmed(t *testing.T) {
	f := newFleet(t, "voids")
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/voids/1", "secret", "").status, http.StatusOK)
	f.platform.unavailable.Store(true)
	f.waitForStatus(t, 0, "/voids/1", "secret", http.StatusServiceUnavailable)
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/open/1", "", "").status, http.StatusOK)
	f.platform.unavailable.Store(false)
	f.waitForStatus(t, 0, "/voids/1", "secret", http.StatusOK)
}

// Guards against a node that does not learn of a revoked or new key within seconds.
func TestPolicyChangeReachesEveryNode(t *testing.T) {
	f := newFleet(t, "riders", "voids", "voids")
	p := testPolicy()
	p.Version = 9
	p.Accounts = []account.Account{{ID: "a1", KeyHashes: []string{account.HashKey("new")}}}
	f.platform.setPolicy(p)
	for node := range f.nodes {
		f.waitForStatus(t, node, "/voids/1", "secret", http.StatusUnauthorized)
		f.waitForStatus(t, node, "/voids/1", "new", http.StatusOK)
	}
}

// Guards against retrying a non-idempotent operation whose answer was lost, and against reporting it as not run. A lookup is
// retried once.
func TestNonIdempotentRequestIsNotRetriedAfterLostAnswer(t *testing.T) {
	f := newFleet(t, "riders", "voids", "voids")
	for _, target := range f.targets {
		target.loseAnswers.Store(true)
	}
	assert.Equal(t, f.send(t, 0, http.MethodPost, "/voids/1", "secret", "x").status, http.StatusBadGateway)
	assert.Equal(t, f.targets[1].runs.Load()+f.targets[2].runs.Load(), int64(1))
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/voidlist/1", "secret", "").status, http.StatusBadGateway)
	assert.Equal(t, f.targets[1].runs.Load()+f.targets[2].runs.Load(), int64(3))
}

// Guards against a planned stop that aborts a request which the node has accepted from a caller or from another node.
func TestStopFinishesAcceptedRequests(t *testing.T) {
	f := newFleet(t, "riders", "voids")
	f.targets[1].holdRequests.Store(true)
	answered := make(chan int, 2)
	for _, node := range []int{0, 1} {
		go func() { answered <- f.send(t, node, http.MethodPost, "/voids/1", "secret", "x").status }()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.targets[1].runs.Load() < 2 {
			return poll.Continue("%d requests have started", f.targets[1].runs.Load())
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	f.nodes[1].stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.ready(1) {
			return poll.Continue("the node is still ready")
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	f.targets[1].releaseRequests()
	for range 2 {
		assert.Equal(t, <-answered, http.StatusOK)
	}
	assert.NilError(t, <-f.nodes[1].done)
}

// Guards against keeping a caller waiting beyond the timeout of its route.
func TestRouteTimeoutIsAnswered(t *testing.T) {
	f := newFleet(t, "voids")
	f.targets[0].holdRequests.Store(true)
	defer f.targets[0].releaseRequests()
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/short/1", "secret", "").status, http.StatusGatewayTimeout)
}

// Guards against an account that exceeds its rate by sending requests to every node.
func TestRateCountsOverAllNodes(t *testing.T) {
	f := newFleet(t, "voids", "voids", "voids")
	p := testPolicy()
	p.Version = 9
	p.Accounts[0].RatePerSecond, p.Accounts[0].Burst = 2, 4
	f.platform.setPolicy(p)
	var admitted atomic.Int64
	// The policy reaches the nodes one after the other, and the rate holds once each of them has refused a request.
	refused := make(map[int]bool)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for node := range f.nodes {
			if f.send(t, node, http.MethodGet, "/voids/1", "secret", "").status == http.StatusTooManyRequests {
				refused[node] = true
			}
		}
		if len(refused) < len(f.nodes) {
			return poll.Continue("%d nodes have refused a request", len(refused))
		}
		return poll.Success()
	}, poll.WithTimeout(20*time.Second))
	start := time.Now()
	admitted.Store(0)
	for range 100 {
		for node := range f.nodes {
			if f.send(t, node, http.MethodGet, "/voids/1", "secret", "").status == http.StatusOK {
				admitted.Add(1)
			}
		}
	}
	allowed := 2*time.Since(start).Seconds() + 4 + 1
	assert.Assert(t, float64(admitted.Load()) <= allowed, "%d admitted, %v allowed", admitted.Load(), allowed)
}

func testPolicy() published.Policy {
	return published.Policy{
		Version: 5, KeysRequired: true,
		Accounts: []account.Account{{ID: "a1", KeyHashes: []string{account.HashKey("secret")}}},
		Services: []service.Service{{Name: "voids", HealthPath: healthPath}},
		Routes: []route.Route{
			{Prefix: "/voids/", Service: "voids", Class: route.NonIdempotent, TimeoutMs: 30_000, ObjectiveMs: 1000, MaxTargets: 2},
			{Prefix: "/voidlist/", Service: "voids", Class: route.Lookup, TimeoutMs: 30_000, ObjectiveMs: 1000, MaxTargets: 2},
			{Prefix: "/short/", Service: "voids", Class: route.Lookup, TimeoutMs: 300, ObjectiveMs: 100, MaxTargets: 1},
			{Prefix: "/open/", Service: "voids", Class: route.Lookup, TimeoutMs: 30_000, ObjectiveMs: 1000, MaxTargets: 2, Open: true},
			{
				Prefix: "/openvoids/", Service: "voids", Class: route.NonIdempotent, TimeoutMs: 30_000, ObjectiveMs: 2000, MaxTargets: 2,
				Open: true,
			},
		},
	}
}

func (f *fleet) waitForStatus(t *testing.T, node int, path, key string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.send(t, node, http.MethodGet, path, key, "").status; got != want {
			return poll.Continue("node %d answers %d", node, got)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

var requestNumber atomic.Int64

// send sends a request to the node and returns the answer.
func (f *fleet) send(t *testing.T, node int, method, path, key, body string) callerAnswer {
	t.Helper()
	got, err := f.trySend(node, method, path, key, body)
	assert.NilError(t, err)
	return got
}

// trySend sends a request to the node and returns the answer or the connection error.
func (f *fleet) trySend(node int, method, path, key, body string) (callerAnswer, error) {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+f.nodes[node].entry+path, bodyReader(body))
	if err != nil {
		return callerAnswer{}, err
	}
	r.Header.Set("Id", fmt.Sprint(requestNumber.Add(1)))
	r.Header.Set("Account", "claimed")
	if key != "" {
		r.Header.Set("Key", key)
	}
	response, err := f.client.Do(r)
	if err != nil {
		return callerAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	return readAnswer(response)
}

// Guards against a caller that crashes one target after the other by repeating the same request: after three crashes every
// node refuses the request as not run.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	services := []string{"voids", "voids", "voids", "voids", "voids", "voids"}
	f := newFleet(t, services...)
	sends := 0
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		sends++
		response := f.send(t, sends%len(services), http.MethodPost, crashPath, "secret", "x")
		if response.status != http.StatusServiceUnavailable {
			return poll.Continue("answered %d", response.status)
		}
		return poll.Success()
	}, poll.WithDelay(300*time.Millisecond), poll.WithTimeout(30*time.Second))
	var runs int64
	for _, target := range f.targets {
		runs += target.runs.Load()
	}
	// One more target may have started the request before all nodes knew of the third crash.
	assert.Assert(t, runs >= 3 && runs <= 4, "%d targets have run it", runs)
}

// Load pattern: many callers send large bodies at the same time. Guards against a node that is killed because it buffers all
// of them, and against refusing short requests meanwhile.
func TestLargeBodiesStayWithinMemoryLimit(t *testing.T) {
	const memoryMB, callers, largeBytes = 20, 8, 1 << 20
	f := newFleetWith(t, func(s *meshsetting.Settings) { s.MemoryMB = memoryMB }, "voids")
	f.targets[0].holdRequests.Store(true)
	large := strings.Repeat("x", largeBytes)
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			response, err := f.trySend(0, http.MethodPost, "/voids/1", "secret", large)
			if err != nil {
				t.Errorf("no answer: %v", err)
			}
			statuses <- response.status
		}()
	}
	assert.Equal(t, <-statuses, http.StatusServiceUnavailable)
	f.targets[0].releaseRequests()
	assert.Equal(t, f.send(t, 0, http.MethodPost, "/voids/1", "secret", "short").status, http.StatusOK)
	counts := make(map[int]int)
	for range callers - 1 {
		counts[<-statuses]++
	}
	assert.Assert(t, counts[http.StatusOK] > 0, "%v", counts)
	assert.Equal(t, counts[http.StatusOK]+counts[http.StatusServiceUnavailable], callers-1, "%v", counts)
	assert.Equal(t, f.targets[0].runs.Load(), int64(counts[http.StatusOK]+1))
}

// Guards against a caller that does not send the body it announced and thereby holds a connection and memory of the budget.
func TestBodyThatDoesNotArriveInTimeIsRefused(t *testing.T) {
	f := newFleet(t, "voids")
	c, err := net.Dial("tcp", f.nodes[0].entry)
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = fmt.Fprint(c, "POST /short/1 HTTP/1.1\r\nHost: h\r\nKey: secret\r\nContent-Length: 10\r\n\r\nhalf")
	assert.NilError(t, err)
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	assert.NilError(t, err)
	assert.Equal(t, response.StatusCode, http.StatusServiceUnavailable)
	assert.NilError(t, response.Body.Close())
	assert.Equal(t, f.targets[0].runs.Load(), int64(0))
}
