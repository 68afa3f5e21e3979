package cmd_test

import (
	"encoding/json"
	"expvar"
	"net"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootctl/explanation"
	"coltsfootusher.example/coltsfootctl/status"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

// startNode serves the operator address of a node with the given version of the presets and returns the address.
func startNode(t *testing.T, name string, presetsVersion int64, decisions ...decision.Decision) string {
	t.Helper()
	return startNodeWith(t, name, presetsVersion, nil, decisions...)
}

func startNodeWith(
	t *testing.T, name string, presetsVersion int64, sections []config.Status, decisions ...decision.Decision,
) string {
	t.Helper()
	recorder := decision.New(name, log.NewNopLogger(), new(expvar.Map).Init(), 8, 8)
	for _, d := range decisions {
		recorder.Record(d)
	}
	srv := httptest.NewServer(operator.Handler(func() operator.Status {
		return operator.Status{
			Node: name, FailureDomain: "a", Service: "riders", Ready: true, ActivePreset: "ordinary",
			Versions:      map[fleet.SectionName]int64{fleet.Presets: presetsVersion},
			AgesMs:        map[fleet.SectionName]clock.Millis{fleet.Presets: 1500},
			LastContactMs: map[string]clock.Millis{"platform": 20, "riders-b1": 40},
			Sections:      sections,
			Load:          call.Load{Running: 3, Limit: 90, Waiting: 7},
		}
	}, recorder))
	t.Cleanup(srv.Close)
	return srv.Listener.Addr().String()
}

// unreachableAddress returns an address on which no process listens.
func unreachableAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

// Guards against a fleet that is reported as consistent although versions differ, a version was rejected, or a node does
// not answer.
func TestStatusFailsOnDifferencesAndSilence(t *testing.T) {
	a, b, newer := startNode(t, "riders-a1", 4), startNode(t, "riders-b1", 4), startNode(t, "riders-c1", 5)
	rejecting := startNodeWith(t, "riders-d1", 4, []config.Status{
		{Name: fleet.Presets, Version: 4, RejectedVersion: 5, RejectedReason: "policy must be on or off"},
	})
	unreachable := unreachableAddress(t)
	list := filepath.Join(t.TempDir(), "nodes")
	assert.NilError(t, os.WriteFile(list, []byte("# domain a\n"+a+"\n\n"+b+" # second\n"), 0o600))
	for _, c := range []struct {
		name        string
		args        []string
		wantFailure bool
		wantOutput  []string
	}{
		{"agreed", []string{"--nodes-file", list, "--node", a}, false,
			[]string{"riders-a1", "riders-b1", "live", "ordinary", "4 (1.5s)", "3/90", "7", "20ms", "1 (longest 40ms)"}},
		{"versions differ", []string{"--nodes-file", list, "--node", newer}, true,
			[]string{"presets differ: version 4 on 2 nodes, version 5 on 1 nodes"}},
		{"version rejected", []string{"--node", a, "--node", rejecting}, true,
			[]string{"riders-d1 did not apply presets version 5: policy must be on or off"}},
		{"no answer", []string{"--node", a, "--node", unreachable}, true,
			[]string{unreachable, "no answer", "1 of 2 nodes did not answer"}},
		{"no node", nil, true, nil},
		{"host name", []string{"--node", "localhost:80"}, true, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			code, stdout, stderr := runCommand(t, "", append([]string{"status"}, c.args...)...)
			assert.Equal(t, code != 0, c.wantFailure, stderr)
			for _, text := range c.wantOutput {
				assert.Assert(t, strings.Contains(stdout, text), "%q is missing in:\n%s", text, stdout)
			}
		})
	}
	code, stdout, _ := runCommand(t, "", "status", "--output", "json", "--node", a, "--node", newer)
	assert.Equal(t, code, 1)
	var report status.Report
	assert.NilError(t, json.Unmarshal([]byte(stdout), &report))
	assert.Equal(t, len(report.Nodes), 2)
	assert.DeepEqual(t, report.VersionMismatches[0].NodesByVersion, map[int64]int{4: 1, 5: 1})
}

// Guards against decisions of several nodes that are listed out of order or without their reason.
func TestExplainShowsDecisionsInOrder(t *testing.T) {
	a := startNode(t, "riders-a1", 4, decision.Decision{
		Part: "entry", RequestID: "r1", Account: "estrie", Route: "/riders", Action: "target chosen", Node: "riders-b1", FactAgeMs: 30,
	}, decision.Decision{RequestID: "r2", Action: "of another request"})
	b := startNode(t, "riders-b1", 4, decision.Decision{
		Part: "gate", RequestID: "r1", Account: "estrie", Route: "/riders", Action: "call refused by gate", Node: "riders-b1",
		Reason: call.ReasonOverloaded, WaitMs: 12,
	})
	code, stdout, stderr := runCommand(t, "", "explain", "--node", b, "--node", a, "r1")
	assert.Equal(t, code, 0, stderr)
	lines := strings.Split(strings.TrimSpace(stdout), "\n")
	assert.Equal(t, len(lines), 2, stdout)
	assert.Assert(t, strings.HasSuffix(lines[0], "riders-a1, entry: target chosen (to riders-b1) on /riders "+
		"for client account estrie; load report 30ms old."), lines[0])
	assert.Assert(t, strings.HasSuffix(lines[1], "riders-b1, gate: call refused by gate on /riders for client account estrie, "+
		"because the target or its queue is full (overloaded, status 503); wait 12ms."), lines[1])

	code, _, stderr = runCommand(t, "", "explain", "--node", a, "r9")
	assert.Equal(t, code, 1)
	assert.Assert(t, strings.Contains(stderr, "no node that answered remembers request r9"), stderr)
	code, _, stderr = runCommand(t, "", "explain", "--node", a, "--node", unreachableAddress(t), "r1")
	assert.Equal(t, code, 1, stderr)
}

// Guards against a refusal reason without a description.
func TestEveryReasonHasADescription(t *testing.T) {
	unknown := explanation.DescribeReason("")
	for _, reason := range call.Reasons() {
		assert.Assert(t, explanation.DescribeReason(reason) != unknown, string(reason))
	}
}

// Guards against a hash that nodes would not match with the caller's key, and against printing the key.
func TestHashKeyMatchesNodesAndNeverShowsTheKey(t *testing.T) {
	for _, c := range []struct {
		in, out string
	}{
		{"sesame", account.HashKey("sesame")},
		{"sesame\n", account.HashKey("sesame")},
		{"sesame\r\n", account.HashKey("sesame")},
		{"", ""}, {"\n", ""}, {"sesame seed", ""}, {"sesame\n\n", ""}, {" sesame", ""}, {"sesame,seed", ""}, {"sesame\x00", ""},
		{strings.Repeat("s", 5000), ""},
	} {
		code, stdout, stderr := runCommand(t, c.in, "hash-key")
		assert.Equal(t, strings.TrimSpace(stdout), c.out, "%q", c.in)
		assert.Equal(t, code != 0, c.out == "", "%q", c.in)
		assert.Assert(t, !strings.Contains(stderr, "sesame"), stderr)
	}
	code, stdout, stderr := runCommand(t, "", "hash-key", "sesame")
	assert.Equal(t, code, 2, "a key on the command line would be visible to all users of the machine")
	assert.Assert(t, !strings.Contains(stdout+stderr, account.HashKey("sesame")))
}

// Guards against a help or version flag that also reports a usage error, such as a missing command.
func TestHelpAndVersionExitWithoutUsageError(t *testing.T) {
	for _, args := range [][]string{{"--help"}, {"--version"}, {"status", "--help"}, {"--completion-script-bash"}} {
		code, _, stderr := runCommand(t, "", args...)
		assert.Equal(t, code, 0, "%v %s", args, stderr)
		assert.Assert(t, !strings.Contains(stderr, "try --help"), stderr)
	}
	_, help, _ := runCommand(t, "", "--help")
	for _, name := range []string{"check", "status", "explain", "hash-key", "Examples:", "--completion-script-bash"} {
		assert.Assert(t, strings.Contains(help, name), "%s is missing in:\n%s", name, help)
	}
	code, _, stderr := runCommand(t, "", "chek")
	assert.Equal(t, code, 2)
	assert.Assert(t, strings.Contains(stderr, "try --help"), stderr)
}
