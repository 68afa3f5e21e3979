package cmd_test

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/cmd"
)

// Guards against an error in the settings that is accepted or reported without its line. Each file has one error, on the
// line with the comment "want", which gives a part of the message.
func TestCheckReportsLineOfEachSettingsError(t *testing.T) {
	files, err := filepath.Glob("../setting/testdata/broken/*.yaml")
	assert.NilError(t, err)
	assert.Assert(t, len(files) > 0)
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			line, message := expectedProblem(t, file)
			var stdout, stderr bytes.Buffer
			assert.Assert(t, cmd.Main([]string{"check", file}, &stdout, &stderr) != 0)
			reported := strings.Split(strings.TrimSpace(stderr.String()), "\n")
			assert.Equal(t, len(reported), 1, "%s", stderr.String())
			assert.Assert(t, strings.HasPrefix(reported[0], fmt.Sprintf("%s:%d: ", file, line)), reported[0])
			assert.Assert(t, strings.Contains(reported[0], message), reported[0])

			stderr.Reset()
			assert.Assert(t, cmd.Main([]string{"run", "--config", file}, &stdout, &stderr) != 0)
			assert.Assert(t, strings.Contains(stderr.String(), fmt.Sprintf("%s:%d: ", file, line)), stderr.String())
		})
	}
}

func expectedProblem(t *testing.T, file string) (line int, message string) {
	t.Helper()
	data, err := os.ReadFile(file)
	assert.NilError(t, err)
	for i, lineText := range strings.Split(string(data), "\n") {
		if _, want, ok := strings.Cut(lineText, "# want: "); ok {
			return i + 1, want
		}
	}
	t.Fatalf("%s has no comment with the expected message", file)
	return 0, ""
}

// Guards against a check that rejects valid settings, which would make its rejection of invalid ones meaningless.
func TestCheckAcceptsValidSettings(t *testing.T) {
	for _, file := range []string{
		"../setting/testdata/good.yaml", "../../examples/sablons/coltsfootd.yaml", "../../examples/hanoi/coltsfootd.yaml",
	} {
		var stdout, stderr bytes.Buffer
		assert.Equal(t, cmd.Main([]string{"check", file}, &stdout, &stderr), 0, stderr.String())
	}
}

// Guards against invalid settings of a mesh node that are reported only when the node starts.
func TestCheckReportsInvalidMeshSettings(t *testing.T) {
	const valid = "nodeName: n1\nfailureDomain: d1\nservice: riders\nentryAddress: 127.0.0.1:1\npeerAddress: 127.0.0.1:2\n" +
		"readinessAddress: 127.0.0.1:3\ntargetAddress: 127.0.0.1:4\nplatformAddress: 127.0.0.1:5\n"
	for text, want := range map[string]string{
		valid: "", valid + "maxFiles: 1\n": "maxFiles", valid + "unknown: 1\n": "unknown",
		valid + "peerListenAddress: x\n": "peerListenAddress",
	} {
		file := filepath.Join(t.TempDir(), "mesh.yaml")
		assert.NilError(t, os.WriteFile(file, []byte(text), 0o600))
		var stdout, stderr bytes.Buffer
		code := cmd.Main([]string{"check", "--mesh", file}, &stdout, &stderr)
		assert.Equal(t, code == 0, want == "", stderr.String())
		assert.Assert(t, strings.Contains(stderr.String(), want), stderr.String())
	}
}
