package gateway

import (
	"bufio"
	"net"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
)

// serveRaw starts a server that answers the first request of each connection with the text, in which ECHO is replaced by the
// request id, and closes the connection.
func serveRaw(t *testing.T, text string) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			if request, err := http.ReadRequest(bufio.NewReader(connection)); err == nil {
				answer := strings.ReplaceAll(text, "ECHO", request.Header.Get("Coltsfoot-Request-Id"))
				_, _ = connection.Write([]byte(strings.ReplaceAll(answer, "\n", "\r\n")))
			}
			_ = connection.Close()
		}
	}()
	return listener.Addr().String()
}

// Guards against reporting "not run" for a request that the target may have received, and against passing on an answer that
// is truncated or belongs to another request.
func TestNotRunIsReportedOnlyIfTargetCannotHaveReceivedRequest(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		reason call.Reason
		run    call.RunStatus
	}{
		"whole":  {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "", call.WasRun},
		"echoed": {"HTTP/1.1 200 OK\nColtsfoot-Request-Id: ECHO\nContent-Length: 2\n\nok", "", call.WasRun},
		"of another request": {
			"HTTP/1.1 200 OK\nColtsfoot-Request-Id: x\nContent-Length: 2\n\nok", call.ReasonAnswerMismatch, call.MaybeRun,
		},
		"truncated": {"HTTP/1.1 200 OK\nContent-Length: 3\n\nok", call.ReasonAnswerTruncated, call.MaybeRun},
		"truncated before the last chunk": {
			"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n", call.ReasonAnswerTruncated, call.MaybeRun,
		},
		"without a length":  {"HTTP/1.1 200 OK\n\nok", call.ReasonAnswerTruncated, call.MaybeRun},
		"closed connection": {"", call.ReasonTargetFailed, call.MaybeRun},
		"refused": {
			"HTTP/1.1 503 Busy\nTarget-Refused: not-run\nColtsfoot-Request-Id: ECHO\nContent-Length: 0\n\n",
			call.ReasonOverloaded, call.NotRun,
		},
		"refused without echo": {
			"HTTP/1.1 503 Busy\nTarget-Refused: not-run\nContent-Length: 0\n\n", call.ReasonOverloaded, call.MaybeRun,
		},
	} {
		t.Run(name, func(t *testing.T) {
			target := NewTarget(serveRaw(t, test.text), 1, 1000)
			c := call.Call{RequestID: "r", Method: http.MethodPost, Path: "/pay"}
			a := target.Do(t.Context(), c, "handle", http.Header{}, []byte("body"), 1000)
			assert.Equal(t, a.Result.Reason, test.reason)
			assert.Equal(t, a.Result.RunStatus, test.run)
		})
	}
}

// Guards against node headers that a target copies from the answer to one of its inner calls: its caller would take "not run"
// as the outcome of its own operation.
func TestNodeHeadersInTargetAnswersAreDropped(t *testing.T) {
	target := NewTarget(serveRaw(t, "HTTP/1.1 502 Failed\nOperation-Outcome: notRun\nColtsfoot-Run: notRun\n"+
		"Coltsfoot-Reason: overloaded\nColtsfoot-Node: x\nContent-Type: text/plain\nContent-Length: 2\n\nok"), 1, 1000)
	c := call.Call{RequestID: "r", Method: http.MethodPost, Path: "/pay"}
	a := target.Do(t.Context(), c, "handle", http.Header{}, nil, 1000)
	assert.Equal(t, a.Result.RunStatus, call.WasRun)
	assert.DeepEqual(t, a.Header, http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"2"}})
}
