package platform_test

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/standin/platform"
)

func request(t *testing.T, method, url, node, body string) (int, platform.Value) {
	t.Helper()
	req, err := http.NewRequest(method, url, strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set(platform.ReaderHeader, node)
	resp, err := http.DefaultClient.Do(req)
	assert.NilError(t, err)
	defer resp.Body.Close()
	var value platform.Value
	if resp.StatusCode == http.StatusOK {
		assert.NilError(t, json.NewDecoder(resp.Body).Decode(&value))
	}
	return resp.StatusCode, value
}

// Guards against a stand-in that serves readers something else than the chosen mode says.
func TestModes(t *testing.T) {
	p := platform.New()
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	for _, body := range []string{`{"v":1}`, `{"v":2}`} {
		status, _ := request(t, "POST", srv.URL+"/admin/values/presets", "", body)
		assert.Equal(t, status, http.StatusOK)
	}
	status, _ := request(t, "POST", srv.URL+"/admin/values/presets?expected=1", "", `{}`)
	assert.Equal(t, status, http.StatusConflict, "the operator who lost the race must see a conflict")

	cases := []struct {
		name, reader, mode string
		status             int
		version            int64
	}{
		{"up", "", `{"mode":"up"}`, 200, 2},
		{"down", "", `{"mode":"down"}`, 503, 0},
		{"down for another reader", "n2", `{"mode":"down"}`, 200, 2},
		{"down for this reader", "n1", `{"mode":"down"}`, 503, 0},
		{"slow", "", `{"mode":"slow","delayMs":1}`, 200, 2},
		{"stale", "", `{"mode":"stale","versions":{"presets":1}}`, 200, 1},
		{"flapping needs a period", "", `{"mode":"flapping"}`, 200, 2},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			request(t, "DELETE", srv.URL+"/admin/mode", "", "")
			request(t, "POST", srv.URL+"/admin/mode?reader="+c.reader, "", c.mode)
			status, value := request(t, "GET", srv.URL+"/v1/values/presets", "n1", "")
			assert.Equal(t, status, c.status)
			assert.Equal(t, value.Version, c.version)
		})
	}
}

// Guards against a watch that misses a publication or returns before there is one, and against a hanging call
// that does not end with the mode.
func TestWatchAndHang(t *testing.T) {
	p := platform.New()
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	status, _ := request(t, "GET", srv.URL+"/v1/watch/vms?after=0&waitMs=1", "", "")
	assert.Equal(t, status, http.StatusNotModified)

	assert.NilError(t, p.SetBehaviour("n1", platform.Behaviour{Mode: platform.Hang}))
	done := make(chan int64)
	for _, node := range []string{"n1", "n2"} {
		go func() {
			_, value := request(t, "GET", srv.URL+"/v1/watch/vms?after=0&waitMs=30000", node, "")
			done <- value.Version
		}()
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if p.Stats().Waiting == 2 {
			return poll.Success()
		}
		return poll.Continue("watches are not waiting yet")
	}, poll.WithTimeout(10*time.Second))
	_, err := p.Publish("vms", json.RawMessage(`{}`), 0)
	assert.NilError(t, err)
	assert.Equal(t, <-done, int64(1))
	p.ClearBehaviour("n1")
	assert.Equal(t, <-done, int64(1))
	assert.Equal(t, p.Stats().Watches, int64(3))
}

// Guards against a VM list that does not lag, so that R10 would be tested with a perfect list.
func TestVMListLag(t *testing.T) {
	p := platform.New()
	srv := httptest.NewServer(p.Handler())
	defer srv.Close()
	p.SetVMListLag(time.Hour)
	for range 2 {
		_, err := p.Publish("vms", json.RawMessage(`{}`), platform.AnyVersion)
		assert.NilError(t, err)
	}
	_, value := request(t, "GET", srv.URL+"/v1/values/vms", "", "")
	assert.Equal(t, value.Version, int64(1))
	p.SetVMListLag(0)
	_, value = request(t, "GET", srv.URL+"/v1/values/vms", "", "")
	assert.Equal(t, value.Version, int64(2))
}
