package operations

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/go-kit/log"
	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/inflight"
	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/operation"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

// fakeFleet is a fleet of services that call each other directly. A node without a service does not answer.
type fakeFleet struct {
	snapshot        *fleet.Snapshot
	clock           *clock.Fake
	nodes           map[string]*Service
	lastIncarnation uint64
}

func (m *fakeFleet) Current() *fleet.Snapshot { return m.snapshot }

func (m *fakeFleet) MayServe(v vm.VM) bool { return m.nodes[v.Name] != nil }

func (m *fakeFleet) Control(v vm.VM) peerpb.Control {
	if s := m.nodes[v.Name]; s != nil {
		return directControl{service: s}
	}
	return directControl{}
}

func (m *fakeFleet) Choose(candidates []balance.Candidate, _ map[string]bool, _ clock.Millis) (balance.Choice, bool) {
	if len(candidates) == 0 {
		return balance.Choice{}, false
	}
	return balance.Choice{Node: candidates[0].Node}, true
}

func (m *fakeFleet) Started(string, clock.Millis) {}

func (m *fakeFleet) Finished(string, balance.CallResult, clock.Millis) {}

func (m *fakeFleet) Owner(string, operation.Seat) string { return "n1" }

func (m *fakeFleet) Owned(string, operation.Seat, clock.Millis) (clock.Millis, bool) { return 0, true }

type directControl struct {
	peerpb.Control
	service *Service
}

func (d directControl) IssueOperation(ctx context.Context, r *peerpb.IssueOperationRequest) (*peerpb.IssueOperationReply, error) {
	if d.service == nil {
		return nil, context.DeadlineExceeded
	}
	return d.service.IssueOperation(ctx, r)
}

func (d directControl) Outcome(ctx context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	if d.service == nil {
		return nil, context.DeadlineExceeded
	}
	return d.service.Outcome(ctx, r)
}

func (d directControl) SealOperation(ctx context.Context, r *peerpb.OutcomeRequest) (*peerpb.OutcomeReply, error) {
	if d.service == nil {
		return nil, context.DeadlineExceeded
	}
	return d.service.SealOperation(ctx, r)
}

func (d directControl) Handover(ctx context.Context, r *peerpb.HandoverRequest) (*peerpb.HandoverReply, error) {
	if d.service == nil {
		return nil, context.DeadlineExceeded
	}
	return d.service.Handover(ctx, r)
}

func newFakeFleet(t *testing.T, names ...string) *fakeFleet {
	t.Helper()
	m := &fakeFleet{snapshot: &fleet.Snapshot{}, clock: clock.NewFake(1_000_000), nodes: make(map[string]*Service)}
	var vms vm.Section
	for i, name := range names {
		vms.VMs = append(vms.VMs, vm.VM{
			Name: name, FailureDomain: "a", Service: "pay", PeerAddress: fmt.Sprintf("127.0.0.1:%d", i+1), State: vm.Live,
		})
	}
	list, err := json.Marshal(vms)
	assert.NilError(t, err)
	for name, value := range map[fleet.SectionName]string{
		fleet.VMs:    string(list),
		fleet.Routes: `{"routes":[{"prefix":"/pay","service":"pay","class":"onceOnly"}]}`,
		fleet.Services: `{"seatsPerDomain":2,"failureDomains":["a"],"services":[
			{"name":"pay","slotsPerTarget":1,"connectionsPerTarget":1,"failureDomains":["a"]}]}`,
	} {
		m.snapshot, err = m.snapshot.WithSection(name, 1, json.RawMessage(value))
		assert.NilError(t, err)
	}
	for _, name := range names {
		m.start(t, name)
	}
	return m
}

// start replaces the node with a new incarnation.
func (m *fakeFleet) start(t *testing.T, name string) *Service {
	t.Helper()
	codec, err := operation.NewCodec([]byte("0123456789abcdef"))
	assert.NilError(t, err)
	m.lastIncarnation++
	m.nodes[name] = New(Config{
		Node: name, FailureDomain: "a", Service: "pay", Incarnation: m.lastIncarnation, Clock: m.clock, Snapshots: m, Membership: m,
		Balancer: m, Seats: m, ControlClients: m, Codec: codec, Logger: log.NewNopLogger(),
		Table: operation.Config{
			Node: name, Incarnation: m.lastIncarnation, RetentionMs: 60_000, MaxClockSkewMs: 5000, MaxEntries: 100,
			MaxBodyBytes: 1000, MaxWaiters: 4,
		},
	})
	return m.nodes[name]
}

func (m *fakeFleet) stop(t *testing.T, name string) {
	t.Helper()
	s := m.nodes[name]
	s.Leave()
	assert.NilError(t, s.Drain(t.Context()))
	assert.NilError(t, s.Close(t.Context()))
	m.nodes[name] = nil
}

// issue returns a call with an operation id whose home is n1.
func (m *fakeFleet) issue(t *testing.T) call.Call {
	t.Helper()
	s := m.nodes["n1"]
	id, reason := s.issueLocally("acct", route.Route{Prefix: "/pay", Service: "pay", Class: route.NonIdempotent})
	assert.Equal(t, reason, call.Reason(""))
	text, err := s.config.Codec.Encode(id)
	assert.NilError(t, err)
	return call.Call{Account: "acct", Service: "pay", Route: "/pay", Path: "/pay", Class: route.NonIdempotent, OperationID: text}
}

func executeDone(context.Context) answer.Answer {
	return answer.Answer{Result: call.Result{RunStatus: call.WasRun}, Status: http.StatusOK, Body: []byte("receipt")}
}

func failIfExecuted(t *testing.T) func(context.Context) answer.Answer {
	return func(context.Context) answer.Answer {
		t.Error("the operation was run")
		return answer.Answer{}
	}
}

// Guards against a started operation that is cancelled with its caller, and against a retried request that runs it
// again.
func TestStartedOperationOutlivesItsCallerAndRunsOnce(t *testing.T) {
	m := newFakeFleet(t, "n1")
	c, home := m.issue(t), m.nodes["n1"]
	proceed := make(chan struct{})
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	a := home.Run(ctx, c, func(ctx context.Context) answer.Answer {
		<-proceed
		assert.Check(t, ctx.Err() == nil)
		return executeDone(ctx)
	})
	assert.Equal(t, a.Result.Outcome, call.OutcomeRunning)
	short, cancel := context.WithTimeout(t.Context(), 2*answerMargin)
	defer cancel()
	assert.Equal(t, home.Run(short, c, failIfExecuted(t)).Result.Outcome, call.OutcomeRunning)
	retry := make(chan answer.Answer)
	go func() { retry <- home.Run(t.Context(), c, failIfExecuted(t)) }()
	close(proceed)
	a = <-retry
	assert.Equal(t, a.Result.Outcome, call.OutcomeDone)
	assert.Equal(t, string(a.Body), "receipt")
}

// Guards against a panic that leaves the operation running forever or ends the node.
func TestPanicDoesNotLeaveOperationRunning(t *testing.T) {
	m := newFakeFleet(t, "n1")
	c := m.issue(t)
	a := m.nodes["n1"].Run(t.Context(), c, func(context.Context) answer.Answer { panic("bug") })
	assert.Equal(t, a.Result.Outcome, call.OutcomeUnknown)
	assert.Equal(t, m.nodes["n1"].Query(t.Context(), c).Outcome, call.OutcomeUnknown)
	assert.NilError(t, m.nodes["n1"].Drain(t.Context()))
}

// Guards against an execution that never ends and blocks a graceful shutdown.
func TestRunTimeIsBounded(t *testing.T) {
	m := newFakeFleet(t, "n1")
	m.nodes["n1"].runTimeout = time.Millisecond
	a := m.nodes["n1"].Run(t.Context(), m.issue(t), func(ctx context.Context) answer.Answer {
		<-ctx.Done()
		return answer.Fail(call.ReasonDeadlineExceeded)
	})
	assert.Equal(t, a.Result.Outcome, call.OutcomeUnknown)
}

// Guards against the outcome notRun for an operation that the target may have received, and against running a sealed
// operation.
func TestNotRunOnlyIfNoTargetReceivedOperation(t *testing.T) {
	for _, test := range []struct {
		answer answer.Answer
		want   call.Outcome
	}{
		{answer.Refuse(call.ReasonOverloaded), call.OutcomeNotRun},
		{answer.Fail(call.ReasonTargetFailed), call.OutcomeUnknown},
		{answer.Answer{Result: call.Result{RunStatus: call.WasRun}, Status: http.StatusBadGateway}, call.OutcomeDone},
	} {
		m := newFakeFleet(t, "n1")
		c := m.issue(t)
		a := m.nodes["n1"].Run(t.Context(), c, func(context.Context) answer.Answer { return test.answer })
		assert.Equal(t, a.Result.Outcome, test.want)
		assert.Equal(t, m.nodes["n1"].Run(t.Context(), c, failIfExecuted(t)).Result.Outcome, test.want)
		assert.Equal(t, m.nodes["n1"].Seal(t.Context(), c), test.want)
	}
}

// Guards against storing a truncated answer as the operation's response, and against replaying part of a response that
// was too large to be kept.
func TestLargeAnswerIsStoredWholeOrDropped(t *testing.T) {
	for _, test := range []struct {
		rest   io.Reader
		want   call.Outcome
		reason call.Reason
	}{
		{strings.NewReader(" and more"), call.OutcomeDone, ""},
		{iotest.ErrReader(io.ErrUnexpectedEOF), call.OutcomeUnknown, call.ReasonAnswerTruncated},
		{strings.NewReader(strings.Repeat("x", 1000)), call.OutcomeDone, call.ReasonAnswerNotKept},
	} {
		m := newFakeFleet(t, "n1")
		c := m.issue(t)
		a := m.nodes["n1"].Run(t.Context(), c, func(ctx context.Context) answer.Answer {
			a := executeDone(ctx)
			a.Rest = io.NopCloser(test.rest)
			return a
		})
		assert.Equal(t, a.Result.Outcome, test.want)
		assert.Equal(t, a.Result.Reason, test.reason)
		if retry := m.nodes["n1"].Run(t.Context(), c, failIfExecuted(t)); test.reason == "" {
			assert.Equal(t, string(retry.Body), "receipt and more")
		} else {
			assert.Equal(t, retry.Result.Outcome, test.want)
			assert.Equal(t, len(retry.Body), 0)
		}
	}
}

// Guards against a restarted home that runs an operation of its earlier incarnation, and against handed-over outcomes
// that are lost when the successors stop too.
func TestHandedOverOutcomesSurviveRestarts(t *testing.T) {
	m := newFakeFleet(t, "n1", "n2", "n3", "n4")
	run, fresh := m.issue(t), m.issue(t)
	m.nodes["n1"].Run(t.Context(), run, executeDone)
	keyed := run
	keyed.OperationID = uuid.Must(uuid.NewV7()).String()
	assert.Equal(t, m.nodes["n1"].Run(t.Context(), keyed, executeDone).Result.Outcome, call.OutcomeDone)
	m.stop(t, "n1")
	check := func() {
		t.Helper()
		for _, s := range m.nodes {
			if s == nil {
				continue
			}
			assert.Equal(t, s.Query(t.Context(), run).Outcome, call.OutcomeDone)
			assert.Equal(t, string(s.Query(t.Context(), run).Response.Body), "receipt")
			assert.Equal(t, s.Query(t.Context(), keyed).Outcome, call.OutcomeDone)
			assert.Equal(t, s.Query(t.Context(), fresh).Outcome, call.OutcomeNotRun)
			assert.Equal(t, s.Seal(t.Context(), fresh), call.OutcomeNotRun)
		}
	}
	check()
	m.start(t, "n1")
	check()
	a := m.nodes["n1"].Run(t.Context(), fresh, failIfExecuted(t))
	assert.Equal(t, a.Result.Outcome, call.OutcomeUnknown)
	assert.Equal(t, m.nodes["n2"].Settle(t.Context(), fresh, a).Result.Outcome, call.OutcomeNotRun)
	for _, name := range []string{"n2", "n3", "n4"} {
		m.stop(t, name)
		m.start(t, name)
		check()
	}
}

// Guards against the outcome notRun for operations of a crashed home: nobody knows what its target received.
func TestOutcomeIsUnknownAfterHomeCrashed(t *testing.T) {
	m := newFakeFleet(t, "n1", "n2", "n3")
	c := m.issue(t)
	m.nodes["n1"] = nil
	assert.Equal(t, m.nodes["n2"].Seal(t.Context(), c), call.OutcomeUnknown)
	m.start(t, "n1")
	assert.Equal(t, m.nodes["n2"].Seal(t.Context(), c), call.OutcomeUnknown)
	assert.Equal(t, m.nodes["n1"].Run(t.Context(), c, failIfExecuted(t)).Result.Outcome, call.OutcomeUnknown)
}

// Guards against an inner operation that runs again at another home when the target retries the call.
func TestRetriedInnerCallKeepsItsOperationID(t *testing.T) {
	m := newFakeFleet(t, "n1", "n2")
	parent := &inflight.Parent{Call: m.issue(t), Deadline: m.clock.Now() + 1000}
	c := call.Call{Account: "acct", Service: "pay", Route: "/pay", Path: "/pay?x=1", Fingerprint: 7}
	first, reason := m.nodes["n2"].ChildID(parent, c, "")
	assert.Equal(t, reason, call.Reason(""))
	m.nodes["n1"] = nil
	again, _ := m.nodes["n2"].ChildID(parent, c, "")
	assert.Equal(t, again, first)
	other, _ := m.nodes["n2"].ChildID(parent, c, "second")
	assert.Assert(t, other != first)
	node, _ := m.nodes["n2"].Home(call.Call{OperationID: other})
	assert.Equal(t, node, "n2")
}

// Guards against requests that run under an id that was issued for something else or not at all.
func TestInvalidOperationIDsAreRefused(t *testing.T) {
	m := newFakeFleet(t, "n1")
	c := m.issue(t)
	const key = "01890a5d-ac96-774b-bcce-b302099a8057"
	foreign, err := operation.NewCodec([]byte("another secret"))
	assert.NilError(t, err)
	forged, err := foreign.Encode(operation.ID{Account: "acct", Service: "pay", Route: "/pay", Node: "n1"})
	assert.NilError(t, err)
	for name, test := range map[string]struct {
		header http.Header
		route  string
		id     string
		reason call.Reason
	}{
		"issued":      {http.Header{idHeader: {c.OperationID}}, "/pay", c.OperationID, ""},
		"key":         {http.Header{keyHeader: {key}}, "/pay", key, ""},
		"none":        {http.Header{}, "/pay", "", call.ReasonOperationIDRequired},
		"both":        {http.Header{idHeader: {c.OperationID}, keyHeader: {key}}, "/pay", "", call.ReasonMalformedRequest},
		"twice":       {http.Header{keyHeader: {key, key}}, "/pay", "", call.ReasonMalformedRequest},
		"forged":      {http.Header{idHeader: {forged}}, "/pay", "", call.ReasonOperationIDInvalid},
		"not a UUID":  {http.Header{keyHeader: {"1"}}, "/pay", "", call.ReasonOperationIDInvalid},
		"other route": {http.Header{idHeader: {c.OperationID}}, "/refund", c.OperationID, call.ReasonOperationIDInvalid},
	} {
		t.Run(name, func(t *testing.T) {
			id, reason := m.nodes["n1"].Identify(test.header, call.Call{Account: "acct", Service: "pay", Route: test.route})
			assert.Equal(t, id, test.id)
			assert.Equal(t, reason, test.reason)
		})
	}
	c.Account = "thief"
	assert.Equal(t, m.nodes["n1"].Seal(t.Context(), c), call.OutcomeUnknown)
}
