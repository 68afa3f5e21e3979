package metric_test

import (
	"encoding/json"
	"errors"
	"expvar"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/route"
)

// Guards against a call that is counted under the wrong outcome; alerts depend on these counters.
func TestOutcomeFollowsReasonAndRunStatus(t *testing.T) {
	assert.Equal(t, metric.OutcomeOf(call.Result{RunStatus: call.WasRun}), metric.Answered)
	assert.Equal(t, metric.OutcomeOf(call.Result{Reason: call.ReasonOverRate, RunStatus: call.NotRun}), metric.Refused)
	assert.Equal(t, metric.OutcomeOf(call.Result{Reason: call.ReasonTargetFailed, RunStatus: call.MaybeRun}), metric.Failed)
}

// Guards against counters and gauges that do not follow the node's state, or that are not valid JSON.
func TestMetricsFollowNodeState(t *testing.T) {
	metrics := new(expvar.Map).Init()
	status := operator.Status{
		Ready: true, Sections: []config.Status{{RejectedVersion: 4}, {}},
		AgesMs: map[fleet.SectionName]clock.Millis{fleet.VMs: clock.Never},
	}
	metric.Publish(metrics, func() operator.Status { return status })
	calls := metric.NewCallCounter(metrics)
	metric.PublishOperations(metrics, func() (int, int) { return 3, 4096 })
	calls.Count(route.Lookup, call.Result{RunStatus: call.WasRun})
	calls.Count("", call.Result{Reason: call.ReasonRouteUnknown, RunStatus: call.NotRun})
	calls.Count(route.NonIdempotent,
		call.Result{Reason: call.ReasonTargetFailed, RunStatus: call.MaybeRun, Outcome: call.OutcomeUnknown})
	status.Load.Waiting = 7

	var got struct {
		Calls                                  map[string]int64
		OperationOutcomes                      map[string]int64
		OperationEntries, OperationBodyBytes   int
		GateWaiting, Ready, SectionsNotApplied int
		SectionAgesMs, LastContactMs           map[string]int64
	}
	assert.NilError(t, json.Unmarshal([]byte(metrics.String()), &got))
	assert.Equal(t, got.Calls["lookup.answered"], int64(1))
	assert.Equal(t, got.Calls["none.refused"], int64(1))
	assert.Equal(t, got.Calls["onceOnly.failed"], int64(1))
	assert.Equal(t, got.Calls["onceOnly.answered"], int64(0))
	assert.DeepEqual(t, got.OperationOutcomes, map[string]int64{"done": 0, "notRun": 0, "running": 0, "unknown": 1})
	assert.Equal(t, got.OperationEntries, 3)
	assert.Equal(t, got.OperationBodyBytes, 4096)
	assert.Equal(t, got.GateWaiting, 7)
	assert.Equal(t, got.Ready, 1)
	assert.Equal(t, got.SectionsNotApplied, 1)
	assert.Equal(t, got.SectionAgesMs["vms"], int64(-1))
	assert.Assert(t, got.LastContactMs != nil)
}

type failingTransport struct{}

func (failingTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return nil, errors.New("refused")
}

// Guards against platform failures that don't show in the metrics.
func TestFailedPlatformCallsAreCounted(t *testing.T) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/down" {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	}))
	defer srv.Close()
	metrics := new(expvar.Map).Init()
	transport := metric.CountPlatformCalls(metrics, http.DefaultTransport)
	for _, path := range []string{"/up", "/down"} {
		request := httptest.NewRequest(http.MethodGet, srv.URL+path, nil)
		response, err := transport.RoundTrip(request)
		assert.NilError(t, err)
		assert.NilError(t, response.Body.Close())
	}
	assert.Equal(t, metrics.Get("platformCalls").String(), "2")
	assert.Equal(t, metrics.Get("platformErrors").String(), "1")
	metrics = new(expvar.Map).Init()
	request := httptest.NewRequest(http.MethodGet, srv.URL, nil)
	_, err := metric.CountPlatformCalls(metrics, failingTransport{}).RoundTrip(request) //nolint:bodyclose // no response
	assert.Assert(t, err != nil)
	assert.Equal(t, metrics.Get("platformErrors").String(), "1")
}

// Guards against a refusal reason or a metric that docs/operators.md does not describe.
func TestOperatorsPageNamesEveryReasonAndMetric(t *testing.T) {
	data, err := os.ReadFile("../../docs/operators.md")
	assert.NilError(t, err)
	page := string(data)
	for _, reason := range call.Reasons() {
		row := fmt.Sprintf("\n| `%s` | %d | ", reason, reason.HTTPStatus())
		assert.Assert(t, strings.Contains(page, row), "reason %s has no entry with its status", reason)
	}
	for _, name := range metric.Names() {
		assert.Assert(t, strings.Contains(page, fmt.Sprintf("\n| `%s` | ", name)), "metric %s has no entry", name)
	}
}
