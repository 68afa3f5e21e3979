package control_test

import (
	"context"
	"encoding/json"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/control"
	"coltsfootusher.example/coltsfootd/peerclient"
	"coltsfootusher.example/coltsfootd/peerserver"
	"coltsfootusher.example/coltsfootd/platform"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/peerpb"
)

// fakePlatform serves the example values at version 1 and the VM list. If answers is set, only the sections for which
// it returns true are answered.
type fakePlatform struct {
	vms     vm.Section
	answers func(name fleet.SectionName) bool
}

func (f *fakePlatform) Get(ctx context.Context, name fleet.SectionName) (platform.Value, error) {
	if f.answers != nil && !f.answers(name) {
		<-ctx.Done()
		return platform.Value{}, ctx.Err()
	}
	data, err := os.ReadFile("../../examples/sablons/" + string(name) + ".json")
	if name == fleet.VMs {
		data, err = json.Marshal(f.vms)
	}
	return platform.Value{Name: name, Version: 1, Value: data}, err
}

func (f *fakePlatform) Watch(
	ctx context.Context, name fleet.SectionName, after int64, wait clock.Millis,
) (platform.Value, bool, error) {
	v, err := f.Get(ctx, name)
	if err != nil || v.Version > after {
		return v, err == nil, err
	}
	select {
	case <-time.After(wait.Duration()):
		return v, false, nil
	case <-ctx.Done():
		return v, false, ctx.Err()
	}
}

// newLoop returns a running loop of the node "a1", whose only peer is "b1" with the given handler.
func newLoop(t *testing.T, source *fakePlatform, clk clock.Clock, peer http.Handler) *control.Loop {
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	signer, err := auth.New("a1", []byte("sixteen bytes ok"), time.Minute, time.Now)
	assert.NilError(t, err)
	server := httptest.NewServer(peer)
	t.Cleanup(server.Close)
	source.vms = vm.Section{VMs: []vm.VM{
		{Name: "a1", FailureDomain: "a", Service: "riders", PeerAddress: "127.0.0.1:1", State: vm.Live},
		{
			Name: "b1", FailureDomain: "b", Service: "riders", PeerAddress: strings.TrimPrefix(server.URL, "http://"),
			State: vm.Live,
		},
	}}
	l := control.New(control.Config{
		Node: "a1", FailureDomain: "a", Incarnation: seed, WatchWaitMs: 60_000, StartupTimeoutMs: 500,
		PauseThresholdMs: 1000, ConfirmTimeoutMs: 60_000, Clock: clk, Platform: source,
		Dialer: peerclient.New(signer, http.DefaultTransport), Logger: log.NewNopLogger(),
	})
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		l.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-stopped
	})
	return l
}

// awaitStatus polls the status until the condition holds.
func awaitStatus(t *testing.T, l *control.Loop, condition func(control.Status) bool) control.Status {
	for limit := time.Now().Add(30 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		s, err := l.Status(t.Context())
		if err == nil && condition(s) {
			return s
		}
		if time.Now().After(limit) {
			t.Fatalf("condition not met: %+v", s)
		}
	}
}

func newPeerHandler(t *testing.T, parts peerserver.ControlAPI) http.Handler {
	signer, err := auth.New("a1", []byte("sixteen bytes ok"), time.Minute, time.Now)
	assert.NilError(t, err)
	return peerserver.New(peerserver.Config{
		Signer: signer, Control: peerserver.NewControlHandler(parts), MaxBodyBytes: 1 << 20, Logger: log.NewNopLogger(),
		Metrics: new(expvar.Map),
	})
}

// Guards against requests that continue after a pause when the platform has answered for only some of the sections.
func TestPauseIsConfirmedForEverySection(t *testing.T) {
	clk := clock.NewFake(3_600_000)
	silent := make(chan struct{})
	source := &fakePlatform{}
	source.answers = func(name fleet.SectionName) bool {
		select {
		case <-silent:
			return name != fleet.Accounts
		default:
			return true
		}
	}
	l := newLoop(t, source, clk, http.NotFoundHandler())
	for ready := false; !ready; ready = awaitStatus(t, l, func(control.Status) bool { return true }).Ready {
		clk.Advance(100)
	}
	assert.NilError(t, l.Wait(t.Context()))
	close(silent)
	clk.Advance(5000)
	s := awaitStatus(t, l, func(s control.Status) bool { return s.Pauses == 1 && s.LastContactMs["platform"] == 0 })
	assert.Assert(t, s.Held)
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	assert.ErrorContains(t, l.Wait(ctx), "deadline")
}

// Guards against long polls that delay a graceful shutdown, against a node that sends requests in the name of another
// one, and against peers that keep choosing a node that announced its leaving.
func TestLeaveAnswersLongPollsAndStopsNewWork(t *testing.T) {
	l := newLoop(t, &fakePlatform{}, clock.NewMonotonic(), http.NotFoundHandler())
	awaitStatus(t, l, func(s control.Status) bool { return s.Ready })
	server := httptest.NewServer(newPeerHandler(t, peerserver.ControlAPI{Synchronizer: l}))
	defer server.Close()
	signer, err := auth.New("b1", []byte("sixteen bytes ok"), time.Minute, time.Now)
	assert.NilError(t, err)
	b1 := peerclient.New(signer, http.DefaultTransport).To("a1", strings.TrimPrefix(server.URL, "http://"))
	reply, err := b1.Sync(t.Context(), &peerpb.SyncRequest{Node: "b1", Incarnation: 7, WaitMs: 60_000})
	assert.NilError(t, err)
	assert.Equal(t, len(reply.Updates), len(fleet.SectionNames()))

	_, err = b1.Sync(t.Context(), &peerpb.SyncRequest{Node: "c1"})
	assertCode(t, err, twirp.PermissionDenied)
	_, err = b1.Draw(t.Context(), &peerpb.DrawRequest{Node: "b1"})
	assertCode(t, err, twirp.Unimplemented)

	peer, _ := l.Current().VM("b1")
	assert.Assert(t, l.MayServe(peer))
	_, err = b1.Leave(t.Context(), &peerpb.LeaveRequest{Node: "b1", Incarnation: 7})
	assert.NilError(t, err)
	awaitStatus(t, l, func(s control.Status) bool { return len(s.LeavingPeers) == 1 })
	assert.Assert(t, !l.MayServe(peer))

	polled := make(chan error, 1)
	go func() {
		_, err := b1.Sync(t.Context(), &peerpb.SyncRequest{
			Node: "b1", Incarnation: 7, WaitMs: 60_000, Versions: reply.Versions, Cursor: 1,
		})
		polled <- err
	}()
	l.AnnounceLeaving(t.Context())
	select {
	case err := <-polled:
		assert.NilError(t, err)
	case <-time.After(10 * time.Second):
		t.Fatal("the long poll was not answered")
	}
}

func assertCode(t *testing.T, err error, code twirp.ErrorCode) {
	t.Helper()
	failure, ok := err.(twirp.Error) //nolint:errorlint // twirp returns its own type.
	assert.Assert(t, ok && failure.Code() == code, "%v", err)
}
