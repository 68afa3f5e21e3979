package node_test

import (
	"context"
	"encoding/json"
	"expvar"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/node"
	"coltsfootusher.example/coltsfootd/setting"
)

// Guards against a listed metric that no node publishes, and against a published one that docs/operators.md omits.
func TestPublishedMetricsAreListedAndDocumented(t *testing.T) {
	s := setting.Default()
	s.NodeName, s.FailureDomain, s.Service = "riders-a1", "a", "riders"
	s.EntryAddress, s.PeerAddress, s.EgressAddress, s.OperatorAddress =
		"127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	s.TargetAddress, s.PlatformAddress = "127.0.0.1:1", "127.0.0.1:1"
	s.FleetSecretFile = filepath.Join(t.TempDir(), "secret")
	assert.NilError(t, os.WriteFile(s.FleetSecretFile, []byte("0123456789abcdef"), 0o600))
	n, err := node.New(s, io.Discard)
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	defer func() { assert.NilError(t, n.Run(ctx, io.Discard)) }()

	var published map[string]any
	assert.NilError(t, json.Unmarshal([]byte(expvar.Get(metric.MapName).String()), &published))
	for _, name := range metric.Names() {
		_, ok := published[string(name)]
		assert.Assert(t, ok, "%s is not published", name)
	}
	page, err := os.ReadFile("../../docs/operators.md")
	assert.NilError(t, err)
	for name := range published {
		assert.Assert(t, strings.Contains(string(page), fmt.Sprintf("\n| `%s` | ", name)), "%s is not documented", name)
	}
}
