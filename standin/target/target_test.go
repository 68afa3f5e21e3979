package target_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/target"
)

func start(t *testing.T, s target.Settings, exit func(int)) *target.Target {
	t.Helper()
	s.Name, s.ListenAddress = s.Service+"-1", "127.0.0.1:0"
	s.Slots, s.Connections = max(s.Slots, 1), 20
	s.ServiceTime.Kind = target.Constant
	tgt, err := target.New(s, exit)
	assert.NilError(t, err)
	assert.NilError(t, tgt.Start(context.Background()))
	t.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		assert.NilError(t, tgt.Stop(ctx))
	})
	return tgt
}

type reply struct {
	status int
	header http.Header
	body   []byte
}

func send(t *testing.T, method, url, body string, header ...string) (reply, error) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{}, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return reply{resp.StatusCode, resp.Header, data}, err
}

// Guards against answers that a caller cannot tell from those of other requests, and against executions that the
// journal file loses.
func TestChainAnswerAndJournal(t *testing.T) {
	file := filepath.Join(t.TempDir(), "journal")
	inner := start(t, target.Settings{Service: "trails", JournalFile: file}, nil)
	outer := start(t, target.Settings{
		Service: "riders", EgressAddress: inner.Address(),
		Plans: []target.Plan{{Prefix: "/riders", Parallel: true, Calls: []target.InnerCall{
			{Method: "GET", Path: "/trails/1"}, {Method: "POST", Path: "/trails/2"}}}},
	}, nil)
	resp, err := send(t, "POST", "http://"+outer.Address()+"/riders/7?token=t1", "body",
		target.RequestIDHeader, "r1", target.ContextHeader, "c1", target.TimeoutHeader, "60000")
	assert.NilError(t, err)
	assert.Equal(t, resp.header.Get(target.RequestIDHeader), "r1")
	answer, err := target.ParseAnswer(resp.body)
	assert.NilError(t, err)
	assert.NilError(t, answer.Verify("POST", "/riders/7?token=t1", "t1", []byte("body")))
	assert.ErrorContains(t, answer.Verify("POST", "/riders/7?token=t1", "t1", []byte("other")), "body")
	answer.Inner[0].Token = "t2"
	assert.ErrorContains(t, answer.Verify("POST", "/riders/7?token=t1", "t1", []byte("body")), "token")

	entries, err := journal.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, len(entries), 4)
	assert.Equal(t, entries[0].Token, "t1")
	assert.Equal(t, entries[0].Headers.Get(target.ContextHeader), "c1")
	assert.Assert(t, entries[0].Headers.Get(target.TimeoutHeader) != "")
}

// Guards against faults that a marked request does not trigger, so that response integrity would go untested.
func TestFaults(t *testing.T) {
	exited := make(chan int, 1)
	tgt := start(t, target.Settings{Service: "riders", LateMs: 50}, func(status int) { exited <- status })
	base := "http://" + tgt.Address() + "/riders?token=a"
	_, err := send(t, "GET", base, "", target.RequestIDHeader, "first")
	assert.NilError(t, err)

	for _, kind := range []string{"truncated", "truncatedChunked"} {
		_, err = send(t, "POST", base, "standin-fault="+kind)
		assert.ErrorIs(t, err, io.ErrUnexpectedEOF, kind)
	}
	resp, err := send(t, "GET", base+"&standin-fault=crossed", "", target.RequestIDHeader, "second")
	assert.NilError(t, err)
	assert.Assert(t, resp.header.Get(target.RequestIDHeader) != "second")
	resp, err = send(t, "GET", base+"&standin-fault=late", "", target.TimeoutHeader, "1")
	assert.NilError(t, err)
	assert.Equal(t, resp.status, http.StatusOK, "a late answer ignores the deadline")
	_, err = send(t, "GET", base+"&standin-fault=crash@trails", "")
	assert.NilError(t, err)
	assert.Equal(t, len(exited), 0, "a mark for another service must not act here")
	_, err = send(t, "GET", base+"&standin-fault=crash", "")
	assert.NilError(t, err)
	assert.Equal(t, <-exited, 3)

	conn, err := net.Dial("tcp", tgt.Address())
	assert.NilError(t, err)
	defer conn.Close()
	_, err = io.WriteString(conn, "GET /riders?standin-fault=duplicated HTTP/1.1\r\nHost: a\r\n\r\n")
	assert.NilError(t, err)
	reader := bufio.NewReader(conn)
	for range 2 {
		again, err := http.ReadResponse(reader, nil)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, again.Body)
		assert.NilError(t, err)
		assert.NilError(t, again.Body.Close())
	}
}

// Guards against shed or expired requests that ran although the target said not-run.
func TestSlotsDeadlineAndControls(t *testing.T) {
	tgt := start(t, target.Settings{Service: "riders", ServiceTime: target.Distribution{MeanMs: 300}}, nil)
	base := "http://" + tgt.Address()
	resp, err := send(t, "POST", base+"/admin/controls", `{"shed":true,"draining":true,"falseStatus":"ok"}`)
	assert.NilError(t, err)
	assert.Equal(t, resp.status, http.StatusOK)
	resp, err = send(t, "GET", base+"/health", "")
	assert.NilError(t, err)
	assert.Equal(t, resp.status, http.StatusOK, "a false status hides the drain")

	statuses := make(chan int, 2)
	for range 2 {
		go func() {
			resp, err := send(t, "GET", base+"/riders", "")
			if err != nil || (resp.status == 503 && resp.header.Get(target.RefusedHeader) != target.RefusedNotRun) {
				statuses <- 0
				return
			}
			statuses <- resp.status
		}()
	}
	assert.Equal(t, <-statuses+<-statuses, 200+503)
	resp, err = send(t, "GET", base+"/riders", "", target.TimeoutHeader, "20")
	assert.NilError(t, err)
	assert.Equal(t, resp.status, http.StatusGatewayTimeout)
	stats := tgt.Stats()
	assert.Equal(t, stats.Executed, int64(2))
	assert.Equal(t, stats.Shed, int64(1))
	assert.Equal(t, stats.WhileDraining, int64(3))
}
