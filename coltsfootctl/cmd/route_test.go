package cmd_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootctl/cmd"
	"coltsfootusher.example/coltsfootd/preview"
	"coltsfootusher.example/core/call"
)

// startPreviewNode serves previews and records the last request.
func startPreviewNode(t *testing.T, a preview.Answer, last *http.Request) string {
	t.Helper()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		*last = *r.Clone(r.Context())
		_ = json.NewEncoder(w).Encode(a)
	}))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// Guards against a key in the address of the preview, and against a table without the facts of the decision.
func TestRouteShowsTheDecisionAndKeepsTheKeySecret(t *testing.T) {
	var last http.Request
	address := startPreviewNode(t, preview.Answer{Node: "n1", Route: "/a/", Account: "acc", Services: []preview.Service{{
		Service: "voids", Weight: 1, ByCost: true, CostMs: 57, HighMs: 90, CostAgeMs: 12, Candidates: []preview.Candidate{
			{Target: "t1", FailureDomain: "d1", Share: 0.97, WaitMs: 3, RunMs: 57, SlownessPercent: 160, LoadAgeMs: 40},
			{Target: "t2", FailureDomain: "d2", Excluded: "ejected", LoadAgeMs: -1},
		},
	}}}, &last)
	var out, errOut strings.Builder
	args := []string{"route", "--node", address, "--host", "h", "--body-bytes", "7", "--key-stdin", "/a/b?c=d"}
	assert.Equal(t, cmd.Main(args, strings.NewReader("secret\n"), &out, &errOut), 0, errOut.String())
	query := last.URL.Query()
	assert.Equal(t, query.Get("path")+query.Get("host")+query.Get("method")+query.Get("body"), "/a/b?c=dhGET7")
	assert.Equal(t, last.Header.Get(preview.KeyHeader), "secret")
	assert.Assert(t, !strings.Contains(last.URL.String(), "secret"))
	for _, part := range []string{"cost 57 ms", "last sample 12 ms ago", "t1", "97%", "160%", "40 ms", "ejected", "never"} {
		assert.Assert(t, strings.Contains(out.String(), part), "%q is missing in:\n%s", part, out.String())
	}
}

// Guards against an exit status 0 for a request that would be refused, or whose service has no target.
func TestRouteFailsForARequestWithoutTarget(t *testing.T) {
	for _, a := range []preview.Answer{
		{Reason: call.ReasonKeyUnknown}, {Services: []preview.Service{{Service: "s", Reason: call.ReasonNoTarget}}},
	} {
		var last http.Request
		var out, errOut strings.Builder
		address := startPreviewNode(t, a, &last)
		assert.Equal(t, cmd.Main([]string{"route", "--node", address, "/a"}, strings.NewReader(""), &out, &errOut), 1)
		assert.Assert(t, strings.Contains(out.String(), "because"), out.String())
	}
	var out, errOut strings.Builder
	args := []string{"route", "--node", unreachableAddress(t), "/a"}
	assert.Equal(t, cmd.Main(args, strings.NewReader(""), &out, &errOut), 1)
	assert.Assert(t, strings.Contains(errOut.String(), "no answer"), errOut.String())
}
