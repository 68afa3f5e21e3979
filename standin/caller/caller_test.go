package caller_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/standin/caller"
	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/target"
)

func newTarget(t *testing.T) *target.Target {
	t.Helper()
	tgt, err := target.New(target.Settings{
		Name: "riders-1", Service: "riders", Slots: 50, Connections: 50,
		ServiceTime: target.Distribution{Kind: target.Constant},
	}, nil)
	assert.NilError(t, err)
	return tgt
}

func settings(entry string) caller.Settings {
	return caller.Settings{
		Entries:  []string{entry},
		Accounts: []caller.Account{{ID: "a", Key: "key-a", RatePerSecond: 500}, {ID: "b", Key: "key-b", RatePerSecond: 500}},
		Routes: []caller.Route{
			{Kind: caller.Lookup, Method: "GET", Path: "/riders", Weight: 2},
			{Kind: caller.Issued, Method: "POST", Path: "/signings", Weight: 1},
			{Kind: caller.OwnKey, Method: "POST", Path: "/voids", Weight: 1},
		},
		DurationMs: 30_000, MaxCalls: 100, MaxInFlight: 100, TimeoutMs: 20_000, Retries: 1, Seed: 7,
	}
}

func onceOnly(path string) bool {
	return strings.HasPrefix(path, "/signings") || strings.HasPrefix(path, "/voids")
}

// entry imitates an entry before the target; the first attempt of each operation is answered as broken decides.
func entry(t *testing.T, tgt *target.Target, broken func(w http.ResponseWriter, r *http.Request)) *httptest.Server {
	t.Helper()
	var issued atomic.Int64
	var seen sync.Map
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !strings.HasPrefix(r.Header.Get(caller.KeyHeader), "Bearer key-") {
			http.Error(w, "key", http.StatusUnauthorized)
			return
		}
		if r.URL.Path == caller.IssuePath {
			_, _ = fmt.Fprintf(w, `{"id":"op-%d"}`, issued.Add(1))
			return
		}
		id := r.Header.Get(target.OperationIDHeader) + r.Header.Get(caller.IdempotencyKeyHeader)
		if _, again := seen.LoadOrStore(id, true); id != "" && !again && broken != nil {
			broken(w, r)
			return
		}
		if id != "" {
			w.Header().Set(caller.OutcomeHeader, "done")
		}
		tgt.Handler().ServeHTTP(w, r)
	}))
	t.Cleanup(srv.Close)
	return srv
}

func run(t *testing.T, s caller.Settings) *caller.Result {
	t.Helper()
	load, err := caller.New(s)
	assert.NilError(t, err)
	return load.Run(context.Background())
}

func compare(tgt *target.Target, r *caller.Result) caller.Comparison {
	entries, _ := tgt.Journal().Entries()
	return caller.Compare(r.Operations, entries, onceOnly)
}

// Guards against a load that does not stop by itself, miscounts, or finds faults in a correct system.
func TestCorrectSystem(t *testing.T) {
	tgt := newTarget(t)
	r := run(t, settings(entry(t, tgt, nil).Listener.Addr().String()))
	assert.Equal(t, r.Total.Due, int64(100))
	assert.Equal(t, r.Total.ByVerdict[caller.Complete], int64(100), "%v", r.Total)
	assert.Equal(t, r.Accounts["a"].Due+r.Accounts["b"].Due, int64(100))
	assert.Assert(t, compare(tgt, r).OK())
	recorded := int64(0)
	for _, h := range r.Latencies {
		recorded += h.TotalCount()
	}
	assert.Equal(t, recorded, int64(100))
	for _, o := range r.Operations {
		if id, err := uuid.Parse(o.ID); o.Kind == caller.OwnKey {
			assert.NilError(t, err)
			assert.Equal(t, int(id.Version()), 7)
		}
	}
}

// Guards against an audit that misses operations that ran twice or ran although the caller was told notRun.
func TestFaultySystem(t *testing.T) {
	for _, c := range []struct{ name, outcome string }{{"runs twice", "unknown"}, {"false notRun", "notRun"}} {
		t.Run(c.name, func(t *testing.T) {
			tgt := newTarget(t)
			srv := entry(t, tgt, func(w http.ResponseWriter, r *http.Request) {
				tgt.Handler().ServeHTTP(httptest.NewRecorder(), r)
				w.Header().Set(caller.OutcomeHeader, c.outcome)
				w.WriteHeader(http.StatusServiceUnavailable)
			})
			r := run(t, settings(srv.Listener.Addr().String()))
			got := compare(tgt, r)
			assert.Assert(t, len(r.Operations) > 0)
			if c.outcome == "notRun" {
				assert.Equal(t, len(got.FalseNotRun), len(r.Operations))
				return
			}
			assert.Equal(t, len(got.Duplicates), len(r.Operations))
			assert.Equal(t, r.Total.Attempts, r.Total.Due+int64(len(r.Operations)))
		})
	}
}

// Guards against crossed and truncated answers that count as complete.
func TestAnswersAreChecked(t *testing.T) {
	for _, c := range []struct {
		fault   target.Fault
		verdict caller.Verdict
	}{{target.Crossed, caller.Wrong}, {target.Truncated, caller.Truncated}} {
		t.Run(string(c.fault), func(t *testing.T) {
			tgt := newTarget(t)
			tgt.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest("GET", "/riders?token=other", nil))
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				r.URL.RawQuery += "&standin-fault=" + string(c.fault)
				tgt.Handler().ServeHTTP(w, r)
			}))
			defer srv.Close()
			s := settings(srv.Listener.Addr().String())
			s.Routes = s.Routes[:1]
			r := run(t, s)
			assert.Equal(t, r.Total.ByVerdict[c.verdict], int64(100), "%v", r.Total)
		})
	}
}

// Guards against a done that no execution stands behind, and against lookups that count as duplicates.
func TestCompare(t *testing.T) {
	start := journal.Entry{Event: journal.Start, Path: "/riders", Token: "t"}
	told := []caller.Operation{{Path: "/voids", Token: "u", Attempts: []caller.Attempt{{Verdict: caller.Complete, Outcome: "done"}}}}
	got := caller.Compare(told, []journal.Entry{start, start}, onceOnly)
	assert.DeepEqual(t, got, caller.Comparison{FalseDone: []string{"u"}})
}

// Guards against a load that waits for slow answers instead of sending at its rate, or that sends without bound.
func TestOpenLoopIsBounded(t *testing.T) {
	blocked := make(chan struct{})
	srv := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-blocked }))
	defer srv.Close()
	time.AfterFunc(time.Second, func() { close(blocked) })
	s := settings(srv.Listener.Addr().String())
	s.Routes, s.MaxInFlight = s.Routes[:1], 10
	r := run(t, s)
	assert.Equal(t, r.Total.Due, int64(100))
	assert.Equal(t, r.Total.ByVerdict[caller.Omitted], int64(90))
}
