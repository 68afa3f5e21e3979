package mesh_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// writeRaw takes the connection over and writes the response as it is; %[1]s in it stands for the request ID. The connection
// stays open until the node closes it.
func (tg *fakeTarget) writeRaw(w http.ResponseWriter, r *http.Request, response string) {
	c, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	go func() {
		defer func() { _ = c.Close() }()
		_, _ = fmt.Fprintf(c, response, r.Header.Get("Id"))
		_, _ = io.Copy(io.Discard, buffered.Reader)
	}()
}

// Guards against a failing target whose invalid status makes callers wait for their timeout or reaches them, at the node beside
// the target and at another one, and against running an operation again that may have run. The route's timeout is 30 s; a request
// that waits for it gets status 504.
func TestInvalidStatusIsAnsweredAsMayHaveRun(t *testing.T) {
	f := newFleet(t, "riders", "voids")
	target := f.targets[1]
	for _, status := range []string{"000", "001", "010", "099", "+20", "+99", "600", "700", "999"} {
		head := "HTTP/1.1 " + status + " X\r\nId: %[1]s\r\nBy: " + target.id + "\r\n"
		for name, response := range map[string]string{
			"alone":             head + "Content-Length: 0\r\n\r\n",
			"followed by a 200": head + "\r\nHTTP/1.1 200 OK\r\nId: %[1]s\r\nBy: " + target.id + "\r\nContent-Length: 2\r\n\r\nok",
		} {
			target.raw.Store(response)
			for entry := range f.nodes {
				before := target.runs.Load()
				got := f.send(t, entry, http.MethodPost, "/voids/1", "secret", "body")
				assert.Equal(t, got.status, http.StatusBadGateway, "%s %s at node %d: %+v", status, name, entry, got)
				assert.Equal(t, target.runs.Load()-before, int64(1))
			}
		}
	}
}

// Guards against a lookup that is not tried at another target after an invalid status.
func TestLookupIsRetriedAfterInvalidStatus(t *testing.T) {
	f := newFleet(t, "voids", "voids")
	f.targets[0].raw.Store("HTTP/1.1 000 X\r\nId: %[1]s\r\nContent-Length: 0\r\n\r\n")
	// Later ones may exceed the retry budget.
	for f.targets[0].runs.Load() == 0 {
		got := f.send(t, 0, http.MethodGet, "/voidlist/1", "secret", "")
		assert.Equal(t, got.status, http.StatusOK)
		assert.Equal(t, got.body, f.targets[1].id+" ran it")
	}
	assert.Equal(t, f.targets[0].runs.Load(), int64(1))
}
