package suspect

import (
	"context"
	"encoding/json"
	"net"
	"testing"
	"time"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/vm"
)

type fakeSnapshots struct{ snapshot *fleet.Snapshot }

func (l fakeSnapshots) Current() *fleet.Snapshot { return l.snapshot }

func (l fakeSnapshots) MayServe(v vm.VM) bool { return v.State == vm.Live }

type fixture struct {
	guard       *Guard
	target      net.Listener
	planned     bool
	sentNotices chan []poison.Notice
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	snapshot, err := (&fleet.Snapshot{}).WithSection(fleet.VMs, 1, json.RawMessage(
		`{"vms":[{"name":"n1","failureDomain":"a","service":"s","peerAddress":"127.0.0.1:1","state":"live"}]}`))
	assert.NilError(t, err)
	f := &fixture{sentNotices: make(chan []poison.Notice, 8)}
	f.target, err = net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f.guard = New(Config{
		Node: "n1", FailureDomain: "a", Service: "s", Target: f.target.Addr().String(), Snapshots: fakeSnapshots{snapshot},
		Membership: fakeSnapshots{snapshot}, StopPlanned: func() bool { return f.planned }, Logger: log.NewNopLogger(),
		SendNotices: func(notices []poison.Notice) { f.sentNotices <- notices },
	})
	return f
}

func (f *fixture) enter(t *testing.T, fingerprint uint64) poison.Ticket {
	t.Helper()
	ticket, reason := f.guard.Enter(t.Context(), call.Call{Service: "s", Fingerprint: fingerprint})
	assert.Equal(t, reason, call.Reason(""))
	return ticket
}

// Guards against a crash that goes unnoticed, against requests to a dead target, and against a target that is still
// refused after its restart.
func TestCrashBlocksRequestsUntilRestart(t *testing.T) {
	f := newFixture(t)
	crasher, other := f.enter(t, 1), f.enter(t, 2)
	assert.NilError(t, f.target.Close())
	f.guard.Leave(crasher, poison.Failed)
	f.guard.Leave(other, poison.Failed)
	assert.Equal(t, f.guard.Standing(1), poison.Suspect)
	assert.Equal(t, f.guard.Standing(2), poison.Suspect)
	assert.Equal(t, len(<-f.sentNotices), 2)
	_, reason := f.guard.Enter(t.Context(), call.Call{Service: "s", Fingerprint: 3})
	assert.Equal(t, reason, call.ReasonTargetDown)

	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go f.guard.Run(ctx)
	restarted, err := net.Listen("tcp", f.target.Addr().String())
	assert.NilError(t, err)
	defer func() { _ = restarted.Close() }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if f.guard.Dead() {
			return poll.Continue("the target is still considered dead")
		}
		return poll.Success()
	}, poll.WithTimeout(10*time.Second))

	// Suspects run one at a time.
	first := f.enter(t, 1)
	short, stop := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer stop()
	_, reason = f.guard.Enter(short, call.Call{Service: "s", Fingerprint: 2})
	assert.Equal(t, reason, call.ReasonQueueTimeout)
	assert.NilError(t, restarted.Close())
	f.guard.Leave(first, poison.Failed)
	assert.Equal(t, f.guard.Standing(1), poison.Confirmed)
	assert.Equal(t, f.guard.Standing(2), poison.Suspect)
}

// Guards against suspecting requests after a truncated answer of a live target or after a planned stop.
func TestBrokenAnswerOrPlannedStopIsNoCrash(t *testing.T) {
	f := newFixture(t)
	f.guard.Leave(f.enter(t, 1), poison.Failed)
	assert.Equal(t, f.guard.Standing(1), poison.Normal)
	ticket := f.enter(t, 2)
	f.planned = true
	assert.NilError(t, f.target.Close())
	f.guard.Leave(ticket, poison.Failed)
	assert.Equal(t, f.guard.Standing(2), poison.Normal)
}
