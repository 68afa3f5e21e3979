package mesh_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/looptest"
	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/evacuation"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/published"
)

// setEvacuated replaces the evacuated domains.
func (s *fakePlatform) setEvacuated(domains ...string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.evacuated = nil
	for _, domain := range domains {
		s.evacuated = append(s.evacuated, evacuation.Entry{Domain: domain, Position: history.Position{Revision: s.revision}})
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakePlatform) PolicyAndEvacuations(ctx context.Context) (published.Policy, evacuation.Snapshot, error) {
	s.evacuationReads.Add(1)
	p, err := s.Policy(ctx)
	if err != nil {
		return p, evacuation.Snapshot{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return p, evacuation.Snapshot{Known: history.Position{Revision: s.revision}, Entries: slices.Clone(s.evacuated)}, nil
}

// WatchPolicyAndEvacuations delivers no evacuations, so that these tests cover reads as well.
func (s *fakePlatform) WatchPolicyAndEvacuations(
	ctx context.Context, after history.Position, wait clock.Millis,
) (*published.Policy, evacuation.Changes, history.Position, error) {
	p, next, err := s.WatchPolicy(ctx, after, wait)
	return p, evacuation.Changes{Base: after}, next, err
}

// newEvacuableFleet starts two nodes with targets of one service, in the failure domains d1 and d2.
func newEvacuableFleet(t *testing.T, evacuationSeconds ...meshsetting.Seconds) *fleet {
	t.Helper()
	i := 0
	return newFleetWith(t, func(s *meshsetting.Settings) {
		s.EvacuationSeconds = evacuationSeconds[i]
		i++
		s.FailureDomain = fmt.Sprint("d", i)
		operator, err := netip.ParseAddrPort(looptest.FreeAddress(t))
		assert.NilError(t, err)
		s.OperatorPort = operator.Port()
	}, "voids", "voids")
}

// status returns the status that node i shows to operators.
func (f *fleet) status(t *testing.T, i int) operator.Status {
	t.Helper()
	response, err := f.client.Get(fmt.Sprintf("http://127.0.0.1:%d/status", f.nodes[i].settings.OperatorPort))
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	var s operator.Status
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&s))
	return s
}

// waitForEvacuations waits until node i has put the evacuated domains into force.
func (f *fleet) waitForEvacuations(t *testing.T, i int, domains ...string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		var got struct{ Domains []string }
		assert.NilError(t, json.Unmarshal([]byte(f.nodes[i].metrics.Get("evacuations").String()), &got))
		if !slices.Equal(got.Domains, domains) {
			return poll.Continue("node %d has evacuated %v", i, got.Domains)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// Guards against requests to an evacuated domain, against refusing callers that enter there, and against nodes that stop being
// ready because of it.
func TestRequestsGoToTheOtherDomainDuringAnEvacuation(t *testing.T) {
	f := newEvacuableFleet(t, 5, 5)
	f.platform.setEvacuated("d1", "other")
	for i := range f.nodes {
		f.waitForEvacuations(t, i, "d1", "other")
	}
	before := f.targets[0].runs.Load()
	for i := range 40 {
		answer := f.send(t, i%2, http.MethodPost, "/voids/1", "secret", "x")
		assert.Equal(t, answer.status, http.StatusOK)
	}
	assert.Equal(t, f.targets[0].runs.Load(), before)
	assert.Assert(t, f.ready(0) && f.ready(1))
	assert.DeepEqual(t, f.status(t, 0).EvacuatedDomains, []string{"d1", "other"})
	f.platform.setEvacuated()
	f.waitForEvacuations(t, 0)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.send(t, 0, http.MethodPost, "/voids/1", "secret", "x")
		if f.targets[0].runs.Load() == before {
			return poll.Continue("the target gets no requests after the evacuation")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

// Guards against an origin that sends requests somewhere although operators have evacuated all domains (the gate of node 1 would
// let them pass), that refuses them without a reason and a delay, or that is no longer ready when the evacuation ends.
func TestRequestsAreRefusedWhileAllDomainsAreEvacuated(t *testing.T) {
	f := newEvacuableFleet(t, 5, 0)
	f.platform.setEvacuated("d1", "d2")
	f.waitForEvacuations(t, 0, "d1", "d2")
	before := f.targets[0].runs.Load() + f.targets[1].runs.Load()
	for _, method := range []string{http.MethodGet, http.MethodPost} {
		answer := f.send(t, 0, method, "/voids/1", "secret", "")
		assert.Equal(t, answer.status, http.StatusServiceUnavailable)
		assert.Equal(t, answer.header.Get("Coltsfoot-Reason"), "domainEvacuated")
		assert.Assert(t, answer.header.Get("Retry-After") != "")
	}
	assert.Equal(t, f.targets[0].runs.Load()+f.targets[1].runs.Load(), before)
	assert.Assert(t, f.ready(0))
	assert.Assert(t, strings.Contains(f.nodes[0].metrics.Get("evacuations").String(), `"all":true`))
	f.platform.setEvacuated("d1")
	f.waitForStatus(t, 0, "/voids/1", "secret", http.StatusOK)
}

// Node 1 doesn't follow the evacuations, like one of an earlier version during a rolling update. Guards against a gate that lets
// the requests of such an origin pass, and against an origin that gives up instead of trying the other domain.
func TestGateRefusesRequestsOfAnOriginThatKnowsNoEvacuations(t *testing.T) {
	f := newEvacuableFleet(t, 5, 0)
	assert.Assert(t, f.nodes[1].metrics.Get("evacuations") == nil)
	f.platform.setEvacuated("d1")
	f.waitForEvacuations(t, 0, "d1")
	before := f.targets[0].runs.Load()
	for range 40 {
		assert.Equal(t, f.send(t, 1, http.MethodPost, "/voids/1", "secret", "x").status, http.StatusOK)
	}
	assert.Equal(t, f.targets[0].runs.Load(), before)
}

// Guards against requests that wait at the gate when their target's domain is evacuated, and are sent there, or refused although
// the other domain has room. Running ones finish.
func TestWaitingRequestsGoElsewhereOnAnEvacuation(t *testing.T) {
	// The own domain is preferred, so that requests wait there. The gate of the other target has room for 8 and a queue of 32.
	const requests = 36
	f := newEvacuableFleet(t, 5, 5)
	for _, target := range f.targets {
		target.holdRequests.Store(true)
	}
	var callers sync.WaitGroup
	statuses := make(chan int, requests)
	for range requests {
		callers.Go(func() { statuses <- f.send(t, 0, http.MethodPost, "/voids/1", "secret", "x").status })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.status(t, 0).Load.Waiting == 0 {
			return poll.Continue("no requests wait")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	f.platform.setEvacuated("d1")
	f.waitForEvacuations(t, 0, "d1")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.status(t, 0).Load.Waiting > 0 {
			return poll.Continue("requests still wait")
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	running := f.targets[0].runs.Load()
	for _, target := range f.targets {
		target.releaseRequests()
	}
	callers.Wait()
	assert.Equal(t, f.targets[0].runs.Load(), running)
	for range requests {
		assert.Equal(t, <-statuses, http.StatusOK)
	}
}

// Guards against other decisions or other calls to the platform than before, where the settings don't name a bound.
func TestEvacuationsHaveNoEffectWithoutABound(t *testing.T) {
	f := newEvacuableFleet(t, 0, 0)
	f.platform.setEvacuated("d1", "d2")
	for i := range 10 {
		assert.Equal(t, f.send(t, i%2, http.MethodPost, "/voids/1", "secret", "x").status, http.StatusOK)
	}
	assert.Equal(t, f.platform.evacuationReads.Load(), int64(0))
}
