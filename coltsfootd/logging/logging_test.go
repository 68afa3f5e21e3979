package logging_test

import (
	"bytes"
	"encoding/json"
	stdlog "log"
	"os"
	"strings"
	"testing"

	"github.com/go-kit/log/level"
	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/logging"
)

// Guards against lines that bypass the level filter or lack the node or part, and against net/http lines in another
// format.
func TestLinesCarryNodeAndPart(t *testing.T) {
	var out bytes.Buffer
	logger := logging.New(&out, "json", "warn", "riders-a1")
	_ = level.Info(logging.WithPart(logger, "entry")).Log("msg", "left out")
	_ = level.Warn(logging.WithPart(logger, "entry")).Log("msg", "kept")
	flags := stdlog.Flags()
	defer func() {
		stdlog.SetFlags(flags)
		stdlog.SetOutput(os.Stderr)
	}()
	logging.RedirectStandardLogger(logger)
	stdlog.Print("http: connection broke")

	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	assert.Equal(t, len(lines), 2, out.String())
	for i, want := range []struct{ part, msg string }{{"entry", "kept"}, {"http", "http: connection broke"}} {
		var line map[string]string
		assert.NilError(t, json.Unmarshal([]byte(lines[i]), &line))
		assert.Equal(t, line["node"], "riders-a1")
		assert.Equal(t, line["part"], want.part)
		assert.Equal(t, line["msg"], want.msg)
	}
}

// Guards against a process that crashes at its end because a request that was cut still writes a line.
func TestLinesAfterCloseAreDropped(t *testing.T) {
	var out bytes.Buffer
	a := logging.NewAsync(&out)
	_, _ = a.Write([]byte("before\n"))
	assert.NilError(t, a.Close())
	_, err := a.Write([]byte("after\n"))
	assert.NilError(t, err)
	assert.Equal(t, out.String(), "before\n")
}
