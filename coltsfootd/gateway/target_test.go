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

// serveRaw answers each connection's request with the text, in which ECHO stands for the request id, and closes it.
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

// Guards against "not run" for a request that the target can have received, and against an answer that is cut or not
// the request's own.
func TestNotRunIsReportedOnlyIfTargetCannotHaveReceivedRequest(t *testing.T) {
	for name, test := range map[string]struct {
		text   string
		reason call.Reason
		run    call.RunStatus
	}{
		"whole": {"HTTP/1.1 200 OK\nContent-Length: 2\n\nok", "", call.WasRun},
		"own":   {"HTTP/1.1 200 OK\nColtsfoot-Request-Id: ECHO\nContent-Length: 2\n\nok", "", call.WasRun},
		"of another request": {
			"HTTP/1.1 200 OK\nColtsfoot-Request-Id: x\nContent-Length: 2\n\nok", call.ReasonAnswerMismatch, call.MaybeRun,
		},
		"cut": {"HTTP/1.1 200 OK\nContent-Length: 3\n\nok", call.ReasonAnswerTruncated, call.MaybeRun},
		"cut before the last part": {
			"HTTP/1.1 200 OK\nTransfer-Encoding: chunked\n\n2\nok\n", call.ReasonAnswerTruncated, call.MaybeRun,
		},
		"without an announced end": {"HTTP/1.1 200 OK\n\nok", call.ReasonAnswerTruncated, call.MaybeRun},
		"closed connection":        {"", call.ReasonTargetFailed, call.MaybeRun},
		"refused": {
			"HTTP/1.1 503 Busy\nTarget-Refused: not-run\nColtsfoot-Request-Id: ECHO\nContent-Length: 0\n\n",
			call.ReasonOverloaded, call.NotRun,
		},
		"refused, perhaps another request": {
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

// Guards against a target that passes on what a node said about one of its inner calls: its caller would take "not run"
// for a statement about its own operation.
func TestNodeHeadersInTargetAnswersAreDropped(t *testing.T) {
	target := NewTarget(serveRaw(t, "HTTP/1.1 502 Failed\nOperation-Outcome: notRun\nColtsfoot-Run: notRun\n"+
		"Coltsfoot-Reason: overloaded\nColtsfoot-Node: x\nContent-Type: text/plain\nContent-Length: 2\n\nok"), 1, 1000)
	c := call.Call{RequestID: "r", Method: http.MethodPost, Path: "/pay"}
	a := target.Do(t.Context(), c, "handle", http.Header{}, nil, 1000)
	assert.Equal(t, a.Result.RunStatus, call.WasRun)
	assert.DeepEqual(t, a.Header, http.Header{"Content-Type": {"text/plain"}, "Content-Length": {"2"}})
}
