package health

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"

	"gotest.tools/v3/assert"
)

type events []string

func (e *events) TargetDraining(draining bool) {
	*e = append(*e, map[bool]string{true: "draining", false: "working"}[draining])
}

func (e *events) TargetStarted() { *e = append(*e, "started") }

// Guards against sending work to a draining target, and against taking a working target out of service because its
// health endpoint is silent or failing.
func TestOnlyReportedDrainingTakesTargetOutOfService(t *testing.T) {
	var status int
	var body string
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		_, _ = io.WriteString(w, body)
	}))
	defer server.Close()
	cases := []struct {
		name   string
		status int
		body   string
		want   events
	}{
		{"working", 200, `{"status":"ok"}`, nil},
		{"draining", 200, `{"status":"draining"}`, events{"draining"}},
		{"unavailable", 503, ``, events{"draining"}},
		{"other failure", 500, `oops`, nil},
		{"other form", 200, `OK`, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			var got events
			p := New(strings.TrimPrefix(server.URL, "http://"), "/health", 100, &got)
			status, body = c.status, c.body
			p.observe(p.poll(t.Context()))
			assert.Assert(t, slices.Equal(got, c.want), "%v", got)
		})
	}
}

// Guards against full load on a cold target after a restart, and against a slow start after a mere timeout.
func TestTargetStartsOnlyAfterRefusedConnection(t *testing.T) {
	var got events
	p := New("127.0.0.1:1", "/", 100, &got)
	p.observe(true, nil)
	p.observe(false, context.DeadlineExceeded)
	p.observe(true, nil)
	p.observe(false, &net.OpError{Err: syscall.ECONNREFUSED})
	p.observe(false, context.DeadlineExceeded)
	p.observe(false, nil)
	p.observe(false, nil)
	assert.Assert(t, slices.Equal(got, events{"draining", "started", "working"}), "%v", got)
}
