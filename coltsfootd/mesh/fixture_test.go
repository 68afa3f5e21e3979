package mesh_test

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/zeebo/errs"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/looptest"
	"coltsfootusher.example/coltsfootd/mesh"
	"coltsfootusher.example/coltsfootd/meshsetting"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dialect"
	"coltsfootusher.example/core/evacuation"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/targetstatus"
	"coltsfootusher.example/core/vm"
)

// plainDialect is a header dialect with short names for the targets and callers of these tests.
type plainDialect struct{}

func (plainDialect) EchoHeader() string { return "Id" }

func (plainDialect) ReadCaller(h http.Header) dialect.CallerRequest {
	return dialect.CallerRequest{RequestID: h.Get("Id"), Key: h.Get("Key"), HasKey: h.Get("Key") != ""}
}

func (plainDialect) DropCaller(h http.Header) {
	for _, name := range []string{"Key", "Account", "Caller", "Target"} {
		h.Del(name)
	}
}

func (plainDialect) WriteRetryAfter(h http.Header, after clock.Millis) {
	h.Set("Retry-After", strconv.FormatFloat(after.Duration().Seconds(), 'f', 3, 64))
}

func (plainDialect) WriteTarget(h http.Header, t dialect.TargetRequest) {
	h.Set("Account", t.Account)
	h.Set("Caller", t.Caller)
	h.Set("Target", t.Target)
}

func (plainDialect) ReadTarget(status int, h http.Header) dialect.TargetAnswer {
	return dialect.TargetAnswer{
		FromTarget: h.Get("By") != "", WrongTarget: status == http.StatusMisdirectedRequest, NotRun: h.Get("Not-Run") != "",
		Status: readStatus(h), Load: readLoad(h),
	}
}

func (plainDialect) ReadHealth(status int, h http.Header) dialect.HealthAnswer {
	a := dialect.HealthAnswer{Target: h.Get("By"), Healthy: status == http.StatusOK, Status: readStatus(h)}
	if cold := h.Get("Cold"); cold != "" {
		ms, err := strconv.ParseInt(cold, 10, 64)
		a.ColdMs, a.ColdErr = clock.Millis(ms), err
	}
	return a
}

func readStatus(h http.Header) targetstatus.Report {
	r := targetstatus.Report{Status: targetstatus.Status{Limited: h.Get("Limit") != "", Leaving: h.Get("Leaving") != ""}}
	if r.Limited {
		r.LimitPerSecond, r.LimitErr = strconv.ParseFloat(h.Get("Limit"), 64)
	}
	return r
}

// fakePlatform is an in-memory platform whose policy and targets the tests set.
type fakePlatform struct {
	unavailable, unreadable atomic.Bool

	mu      sync.Mutex
	policy  published.Policy
	targets []roster.Change
	// revision is that of the list of targets.
	revision int64
	changed  chan struct{}
	// evacuated holds the evacuated domains, evacuationReads counts the reads of them.
	evacuated       []evacuation.Entry
	evacuationReads atomic.Int64
}

var errUnavailable = errs.New("the platform is unavailable")

func (s *fakePlatform) setPolicy(p published.Policy) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.policy = p
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *fakePlatform) Policy(context.Context) (published.Policy, error) {
	if s.unavailable.Load() {
		return published.Policy{}, errUnavailable
	}
	if s.unreadable.Load() {
		return published.Policy{}, published.ErrPolicyUnreadable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.policy, nil
}

func (s *fakePlatform) Contacts(ctx context.Context) ([]vm.VM, error) {
	delta, _, err := s.Targets(ctx)
	var vms []vm.VM
	for _, c := range delta.Changes {
		vms = append(vms, *c.VM)
	}
	return vms, err
}

func (s *fakePlatform) Targets(context.Context) (roster.Delta, []error, error) {
	if s.unavailable.Load() {
		return roster.Delta{}, nil, errUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return roster.Delta{Revision: s.revision, Full: true, Changes: slices.Clone(s.targets)}, nil, nil
}

// updateTarget changes the entry of a target.
func (s *fakePlatform) updateTarget(i int, change func(v *vm.VM)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := *s.targets[i].VM
	change(&v)
	s.revision++
	s.targets[i] = roster.Change{Name: v.Name, Revision: s.revision, VM: &v}
}

// removeTarget removes the entry of a target.
func (s *fakePlatform) removeTarget(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.targets = slices.Delete(s.targets, i, i+1)
}

func (s *fakePlatform) Listed(context.Context, string) (bool, error) {
	if s.unavailable.Load() {
		return false, errUnavailable
	}
	return false, nil
}

func (s *fakePlatform) WatchTargets(ctx context.Context, after history.Position, _ clock.Millis) (roster.Delta, []error, error) {
	<-ctx.Done()
	return roster.Delta{}, nil, errUnavailable
}

func (s *fakePlatform) WatchPolicy(
	ctx context.Context, after history.Position, _ clock.Millis,
) (*published.Policy, history.Position, error) {
	s.mu.Lock()
	changed := s.changed
	s.mu.Unlock()
	select {
	case <-changed:
		p, err := s.Policy(ctx)
		after.Revision++
		return &p, after, err
	case <-ctx.Done():
		return nil, after, errUnavailable
	}
}

// fakeTarget is a target that records the last request and counts all requests.
type fakeTarget struct {
	id           string
	service      string
	address      string
	runs         atomic.Int64
	loseAnswers  atomic.Bool
	holdRequests atomic.Bool
	leaving      atomic.Bool
	// coldMs is the warm-up time in the answers to health checks, which are counted.
	coldMs, healthChecks atomic.Int64
	// repeatRefusals makes the target refuse the first request on each connection, and write that refusal again when the next
	// one arrives, which it runs.
	repeatRefusals atomic.Bool
	// raw is the text that the target sends as its response, see writeRaw, or "" for an ordinary one.
	raw atomic.Value
	// limit is the value of the limit header, or "" for none.
	limit atomic.Value
	// slowness is the slowness that the target reports in percent; 0 for none.
	slowness atomic.Int64
	release  chan struct{}
	// server is stopped by a request for crashPath.
	server      *httptest.Server
	releaseOnce sync.Once

	mu     sync.Mutex
	latest targetRequest
}

// healthPath is the path of health checks, which don't count as runs.
const healthPath = "/health"

// crashPath is the path of a request that crashes each target that runs it.
const crashPath = "/voids/deadly"

type targetRequest struct {
	uri, body string
	header    http.Header
}

func newFakeTarget(t testing.TB, id, service string) *fakeTarget {
	t.Helper()
	tg := &fakeTarget{id: id, service: service, release: make(chan struct{})}
	server := httptest.NewServer(tg)
	tg.server = server
	t.Cleanup(server.Close)
	// Held requests would block the close of the server.
	t.Cleanup(tg.releaseRequests)
	tg.address = strings.TrimPrefix(server.URL, "http://")
	return tg
}

// releaseRequests completes the requests that are held.
func (tg *fakeTarget) releaseRequests() {
	tg.releaseOnce.Do(func() { close(tg.release) })
}

func (tg *fakeTarget) lastRequest() targetRequest {
	tg.mu.Lock()
	defer tg.mu.Unlock()
	return tg.latest
}

// ServeHTTP runs a request.
func (tg *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == healthPath {
		tg.healthChecks.Add(1)
		if ms := tg.coldMs.Load(); ms > 0 {
			w.Header().Set("Cold", strconv.FormatInt(ms, 10))
		}
		tg.writeHeaders(w, r)
		return
	}
	body, _ := io.ReadAll(r.Body)
	if tg.repeatRefusals.Load() {
		tg.refuseTwice(w, r)
		return
	}
	tg.mu.Lock()
	tg.latest = targetRequest{uri: r.RequestURI, body: string(body), header: r.Header}
	tg.mu.Unlock()
	tg.runs.Add(1)
	if r.URL.Path == crashPath {
		_ = tg.server.Listener.Close()
		tg.server.CloseClientConnections()
		return
	}
	if raw, _ := tg.raw.Load().(string); raw != "" {
		tg.writeRaw(w, r, raw)
		return
	}
	if tg.loseAnswers.Load() {
		panic(http.ErrAbortHandler)
	}
	if tg.holdRequests.Load() {
		<-tg.release
	}
	tg.writeHeaders(w, r)
	_, _ = fmt.Fprintf(w, "%s ran it", tg.id)
}

// refuseTwice takes the connection over. It refuses the first request and writes the refusal again when the next one arrives.
func (tg *fakeTarget) refuseTwice(w http.ResponseWriter, r *http.Request) {
	c, buffered, err := w.(http.Hijacker).Hijack()
	if err != nil {
		return
	}
	go func() {
		defer func() { _ = c.Close() }()
		refusal := fmt.Sprintf("HTTP/1.1 503 Full\r\nId: %s\r\nBy: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
			r.Header.Get("Id"), tg.id)
		_, _ = io.WriteString(c, refusal)
		for {
			next, err := http.ReadRequest(buffered.Reader)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, next.Body)
			tg.runs.Add(1)
			_, _ = io.WriteString(c, refusal)
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nBy: %s\r\nContent-Length: 4\r\n\r\ndone", next.Header.Get("Id"), tg.id)
		}
	}()
}

func (tg *fakeTarget) writeHeaders(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Id", r.Header.Get("Id"))
	w.Header().Set("By", tg.id)
	if limit, _ := tg.limit.Load().(string); limit != "" {
		w.Header().Set("Limit", limit)
	}
	if percent := tg.slowness.Load(); percent > 0 {
		w.Header().Set("Slowness", strconv.FormatInt(percent, 10))
	}
	if tg.leaving.Load() {
		w.Header().Set("Leaving", "1")
	}
}

type node struct {
	settings         meshsetting.Settings
	entry, readiness string
	metrics          *expvar.Map
	stop             context.CancelFunc
	done             chan error
}

// fleet is a set of nodes in one process, each with a local target of one service.
type fleet struct {
	platform *fakePlatform
	targets  []*fakeTarget
	nodes    []*node
	client   *http.Client
}

func newFleet(t testing.TB, services ...string) *fleet {
	t.Helper()
	return newFleetWith(t, func(*meshsetting.Settings) {}, services...)
}

// newFleetWith starts a fleet after change has adjusted the settings of each node.
func newFleetWith(t testing.TB, change func(*meshsetting.Settings), services ...string) *fleet {
	t.Helper()
	f := &fleet{client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	f.platform = &fakePlatform{policy: testPolicy(), changed: make(chan struct{}), revision: 1}
	var settings []meshsetting.Settings
	for i, service := range services {
		tg := newFakeTarget(t, "t"+strconv.Itoa(i), service)
		f.targets = append(f.targets, tg)
		s := meshsetting.Default()
		s.NodeName, s.Service, s.FailureDomain = "n"+strconv.Itoa(i), service, "d1"
		s.EntryAddress, s.PeerAddress, s.ReadinessAddress = looptest.FreeAddress(t), looptest.FreeAddress(t), looptest.FreeAddress(t)
		s.TargetAddress, s.PlatformAddress = tg.address, "127.0.0.1:1"
		// The lease of the policy is shorter than this by leaseMarginMs.
		s.KeyLeaseSeconds = 3
		change(&s)
		settings = append(settings, s)
		f.platform.targets = append(f.platform.targets, roster.Change{Name: tg.id, Revision: 1, VM: &vm.VM{
			Name: tg.id, FailureDomain: s.FailureDomain, Service: service, State: vm.Live, Slots: 8,
			TargetAddress: s.TargetAddress, PeerAddress: s.PeerAddress, StartedMs: 1000,
		}})
	}
	for _, s := range settings {
		f.start(t, s)
	}
	for i := range f.nodes {
		f.waitUntilReady(t, i)
	}
	return f
}

func (f *fleet) waitUntilReady(t testing.TB, i int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if !f.ready(i) {
			return poll.Continue("node %d is not ready", i)
		}
		// A node that was probed before it listened counts as unreachable until the next probe.
		if lost := f.nodes[i].metrics.Get("peersLost").String(); lost != "0" {
			return poll.Continue("node %d counts %s unreachable peers", i, lost)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
}

func (f *fleet) start(t testing.TB, s meshsetting.Settings) {
	t.Helper()
	metrics := new(expvar.Map).Init()
	n, err := mesh.New(s, f.platform, plainDialect{}, metrics, io.Discard)
	assert.NilError(t, err)
	ctx, stop := context.WithCancel(context.Background())
	running := &node{
		settings: s, entry: s.EntryAddress, readiness: s.ReadinessAddress, metrics: metrics, stop: stop, done: make(chan error, 1),
	}
	go func() { running.done <- n.Run(ctx) }()
	t.Cleanup(stop)
	f.nodes = append(f.nodes, running)
}

// restart stops node i, starts a new process with the same settings in its place, and waits until the others use it.
func (f *fleet) restart(t *testing.T, i int) {
	t.Helper()
	old := f.nodes[i]
	old.stop()
	assert.NilError(t, <-old.done)
	f.start(t, old.settings)
	last := len(f.nodes) - 1
	f.nodes[i], f.nodes = f.nodes[last], f.nodes[:last]
	f.waitUntilReady(t, i)
}

func (f *fleet) ready(i int) bool {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+f.nodes[i].readiness+"/", nil)
	if err != nil {
		return false
	}
	response, err := f.client.Do(r)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

type callerAnswer struct {
	status int
	header http.Header
	body   string
}

func bodyReader(body string) io.Reader {
	if body == "" {
		return nil
	}
	return bytes.NewBufferString(body)
}

func readAnswer(response *http.Response) (callerAnswer, error) {
	body, err := io.ReadAll(response.Body)
	return callerAnswer{status: response.StatusCode, header: response.Header, body: string(body)}, err
}
