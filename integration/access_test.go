package integration

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/peer/auth"
	"coltsfootusher.example/peer/envelope"
	"coltsfootusher.example/standin/launch"
	"coltsfootusher.example/standin/platform"
)

const sablonsProfile = "../examples/sablons"

// launchFleet starts a fleet and stops it at the end of the test.
func launchFleet(t *testing.T, o launch.Options) *launch.Fleet {
	t.Helper()
	o.Bin = os.Getenv("COLTSFOOTUSHER_BIN")
	if o.Bin == "" {
		o.Bin = "../bin"
	}
	bin, err := filepath.Abs(o.Bin)
	assert.NilError(t, err)
	o.Bin, o.Work = bin, t.TempDir()
	f, err := launch.Start(t.Context(), o)
	assert.NilError(t, err)
	t.Cleanup(f.Stop)
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	assert.NilError(t, f.AwaitReady(ctx))
	return f
}

// sendRequest sends one request and returns the status code, headers and body of the response.
func sendRequest(t *testing.T, method, address, path string, header http.Header, body string) (int, http.Header, string) {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), method, "http://"+address+path, strings.NewReader(body))
	assert.NilError(t, err)
	for name, values := range header {
		// Unlike Header.Set, direct assignment preserves non-canonical header names.
		request.Header[name] = values
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	assert.NilError(t, err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, response.Header, string(data)
}

func bearerHeader(key string) http.Header {
	return http.Header{"Authorization": {"Bearer " + key}}
}

func demoKeyOf(t *testing.T, f *launch.Fleet, id string) string {
	t.Helper()
	for _, k := range f.Keys.Keys {
		if k.Account == id {
			return k.Key
		}
	}
	t.Fatalf("no demo key for account %q", id)
	return ""
}

func publishedAccounts(t *testing.T, f *launch.Fleet) account.Section {
	t.Helper()
	v, ok := f.Platform.Current(string(fleet.Accounts))
	assert.Assert(t, ok)
	section, err := account.Decode(v.Value)
	assert.NilError(t, err)
	return section
}

func publish(t *testing.T, f *launch.Fleet, name fleet.SectionName, value any) int64 {
	t.Helper()
	data, err := json.Marshal(value)
	assert.NilError(t, err)
	version, err := f.Platform.Publish(string(name), data, platform.AnyVersion)
	assert.NilError(t, err)
	return version
}

// Guards against a request that runs without a valid key, on a route of another account, or with the key of another account
// (R3).
func TestRequestRunsOnlyForTheAccountOfItsKey(t *testing.T) {
	t.Parallel()
	f := launchFleet(t, launch.Options{Profile: sablonsProfile, Seed: 1})
	entry := f.VM("riders-a1").Entry
	insurerKey, ticketKey := demoKeyOf(t, f, "assurance-boreale"), demoKeyOf(t, f, "estrie")
	cases := []struct {
		name   string
		path   string
		header http.Header
		status int
		reason string
	}{
		{"own key", "/riders/1", bearerHeader(ticketKey), 200, ""},
		{"lower-case scheme", "/riders/1", http.Header{"Authorization": {"bearer " + ticketKey}}, 200, ""},
		{"no key", "/riders/1", nil, 401, "keyMissing"},
		{"unknown key", "/riders/1", bearerHeader("not-a-key"), 401, "keyUnknown"},
		{"hash in place of the key", "/riders/1", bearerHeader(account.HashKey(ticketKey)), 401, "keyUnknown"},
		{"two keys", "/riders/1", http.Header{"Authorization": {"Bearer " + ticketKey, "Bearer " + insurerKey}},
			400, "malformedRequest"},
		{"other scheme", "/riders/1", http.Header{"Authorization": {"Basic " + ticketKey}}, 400, "malformedRequest"},
		{"route of another account", "/claims/1", bearerHeader(ticketKey), 403, "accountNotAllowed"},
		{"route of the same account", "/claims/1", bearerHeader(insurerKey), 200, ""},
		{"open route", "/conditions", nil, 200, ""},
		{"open route with an unknown key", "/conditions", bearerHeader("not-a-key"), 200, ""},
		{"path with .. that leaves an open route", "/conditions/../riders/1", nil, 404, "routeUnknown"},
		{"unknown route", "/elsewhere", bearerHeader(ticketKey), 404, "routeUnknown"},
		{"deadline already past", "/riders/1", http.Header{"Authorization": {"Bearer " + ticketKey}, "Request-Timeout-Ms": {"0"}},
			504, "deadlineExceeded"},
		{"malformed deadline", "/riders/1", http.Header{"Authorization": {"Bearer " + ticketKey}, "Request-Timeout-Ms": {"soon"}},
			400, "malformedRequest"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, header, body := sendRequest(t, http.MethodGet, entry, c.path, c.header, "")
			assert.Equal(t, status, c.status, body)
			assert.Equal(t, header.Get("Coltsfoot-Reason"), c.reason)
		})
	}
	t.Run("key published and moved to another account", func(t *testing.T) { testMovedKey(t, f) })
	t.Run("oversized body", func(t *testing.T) {
		status, header, _ := sendRequest(t, http.MethodGet, entry, "/riders/1", bearerHeader(ticketKey), strings.Repeat("x", 1<<20+1))
		assert.Equal(t, status, 413)
		assert.Equal(t, header.Get("Coltsfoot-Reason"), "bodyTooLarge")
	})
}

// testMovedKey publishes a new key for one account and then moves it to another account. Requests with the key must be
// treated as requests of the account that has it.
func testMovedKey(t *testing.T, f *launch.Fleet) {
	const key = "key-that-moves"
	section := publishedAccounts(t, f)
	owner := 0
	move := func(to int) {
		for i := range section.Accounts {
			section.Accounts[i].KeyHashes = removeString(section.Accounts[i].KeyHashes, account.HashKey(key))
		}
		section.Accounts[to].KeyHashes = append(section.Accounts[to].KeyHashes, account.HashKey(key))
		owner = to
		version := publish(t, f, fleet.Accounts, section)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		assert.NilError(t, f.Await(ctx, func(s launch.Status) bool { return s.Versions[string(fleet.Accounts)] >= version }))
	}
	for _, to := range []string{"estrie", "assurance-boreale"} {
		for i, a := range section.Accounts {
			if a.ID == to {
				move(i)
			}
		}
		want := 403
		if section.Accounts[owner].ID == "assurance-boreale" {
			want = 200
		}
		for _, entry := range f.Entries() {
			status, _, body := sendRequest(t, http.MethodGet, entry, "/claims/1", bearerHeader(key), "")
			assert.Equal(t, status, want, "%s at %s: %s", to, entry, body)
		}
	}
}

func removeString(list []string, removed string) []string {
	var kept []string
	for _, s := range list {
		if s != removed {
			kept = append(kept, s)
		}
	}
	return kept
}

// Guards against inner calls with a forged or replayed context handle, and against peer calls without the fleet secret (R3).
func TestForgedInnerAndPeerCallsAreRefused(t *testing.T) {
	t.Parallel()
	f := launchFleet(t, launch.Options{Profile: sablonsProfile, Seed: 1})
	v := f.VM("riders-a1")
	key := demoKeyOf(t, f, "estrie")
	for range 20 {
		status, _, body := sendRequest(t, http.MethodGet, v.Entry, "/riders/1", bearerHeader(key), "")
		assert.Equal(t, status, 200, body)
	}
	handles := make(map[string]bool)
	entries, err := f.Journals()
	assert.NilError(t, err)
	for _, e := range entries {
		if handle := e.Headers.Get("Coltsfoot-Context"); handle != "" {
			handles[handle] = true
		}
	}
	assert.Assert(t, len(handles) >= 20, "the journals contain too few context handles")
	handles["0123456789abcdef0123456789abcdef"] = true
	handles[""] = true
	before := len(entries)
	for handle := range handles {
		for _, other := range f.VMs {
			status, header, _ := sendRequest(t, http.MethodGet, other.Egress, "/trails/1",
				http.Header{"Coltsfoot-Context": {handle}, "Authorization": {"Bearer " + key}}, "")
			assert.Equal(t, status, 403)
			assert.Equal(t, header.Get("Coltsfoot-Reason"), "contextUnknown")
		}
	}
	for _, path := range []string{"/call", "/twirp/coltsfootusher.peer.Control/Sync", "/riders/1"} {
		status, _, _ := sendRequest(t, http.MethodPost, v.Peer, path, headerWithWrongSecret(t, v, path), "")
		assert.Equal(t, status, 401, path)
	}
	entries, err = f.Journals()
	assert.NilError(t, err)
	assert.Equal(t, len(entries), before, "a forged call reached a target")
}

// headerWithWrongSecret returns the header of a peer call that is well-formed but signed with a wrong fleet secret.
func headerWithWrongSecret(t *testing.T, v *launch.VM, path string) http.Header {
	t.Helper()
	signer, err := auth.New("riders-b1", []byte("not-the-fleet-secret"), time.Minute, time.Now)
	assert.NilError(t, err)
	encodedCall, err := envelope.EncodeCall(call.Call{
		RequestID: "r", Account: "estrie", Service: v.Service, Route: "/riders", Class: route.Lookup,
		Method: http.MethodGet, Path: "/riders/1", TimeoutMs: 1000,
	})
	assert.NilError(t, err)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+v.Peer+path, nil)
	assert.NilError(t, err)
	request.Header.Set(auth.CallHeader, encodedCall)
	assert.NilError(t, signer.Sign(request, v.Name, nil))
	return request.Header
}

// Guards against a key that reaches a target in a header, the path, the query, the body or an inner call (R4).
func TestNoTargetSeesAKey(t *testing.T) {
	t.Parallel()
	f := launchFleet(t, launch.Options{Profile: sablonsProfile, Seed: 1})
	entry := f.VM("signings-b1").Entry
	key, other := demoKeyOf(t, f, "estrie"), demoKeyOf(t, f, "gaspesie")
	with := func(name, value string) http.Header {
		h := bearerHeader(key)
		h[name] = append(h[name], value)
		return h
	}
	cases := []struct {
		name   string
		path   string
		header http.Header
		body   string
	}{
		{"plain", "/contracts/1", bearerHeader(key), ""},
		{"lower-case scheme", "/contracts/1", http.Header{"Authorization": {"bearer " + key}}, ""},
		{"second header of the same name", "/contracts/1", with("Authorization", "Bearer "+other), ""},
		{"lower-case header name", "/contracts/1", with("authorization", "Bearer "+other), ""},
		{"proxy header", "/contracts/1", with("Proxy-Authorization", "Bearer "+key), ""},
		{"custom header name", "/contracts/1", with("X-Api-Key", other), ""},
		{"cookie", "/contracts/1", with("Cookie", "session="+key), ""},
		{"forwarded header", "/contracts/1", with("User-Agent", "agent "+key), ""},
		{"query parameter", "/contracts/1?access_token=" + key, bearerHeader(key), ""},
		{"query parameter with another name", "/contracts/1?x=" + key, bearerHeader(key), ""},
		{"escaped query parameter", "/contracts/1?x=" + percentEncode(key), bearerHeader(key), ""},
		{"another account's key in the query", "/contracts/1?x=" + other, bearerHeader(key), ""},
		{"path", "/contracts/" + key, bearerHeader(key), ""},
		{"path on an open route", "/conditions/" + other, nil, ""},
		{"open route with a key", "/conditions", bearerHeader(key), ""},
		{"body", "/contracts/1", bearerHeader(key), `{"key":"` + key + `"}`},
		{"key without a scheme", "/conditions", http.Header{"Authorization": {key}}, key},
		{"internal headers from a caller", "/contracts/1", with("Coltsfoot-Call", key), ""},
		{"context from a caller", "/contracts/1", with("Coltsfoot-Context", key), ""},
	}
	for _, c := range cases {
		for _, method := range []string{http.MethodGet, http.MethodPost} {
			status, _, _ := sendRequest(t, method, entry, c.path, c.header, c.body)
			t.Logf("%s %s: status %d", c.name, method, status)
		}
	}
	entries, err := f.Journals()
	assert.NilError(t, err)
	assert.Assert(t, len(entries) > 0)
	for _, e := range entries {
		for _, k := range f.Keys.Keys {
			assert.Assert(t, !e.Contains(k.Key), "target %s received a key: %s %s %v", e.Target, e.Method, e.Path, e.Headers)
			assert.Assert(t, !e.Contains(url.QueryEscape(k.Key)))
		}
	}
	for _, v := range f.VMs {
		assert.Assert(t, !logContainsKey(t, f, v.Name+"-node.log"), "the log of %s contains a key", v.Name)
	}
}

// percentEncode escapes every byte, so that a key is not found by a plain comparison.
func percentEncode(s string) string {
	var b strings.Builder
	const hexDigits = "0123456789ABCDEF"
	for i := range len(s) {
		b.WriteByte('%')
		b.WriteByte(hexDigits[s[i]>>4])
		b.WriteByte(hexDigits[s[i]&15])
	}
	return b.String()
}

func logContainsKey(t *testing.T, f *launch.Fleet, name string) bool {
	t.Helper()
	data, err := os.ReadFile(filepath.Join(f.Options.Work, name))
	assert.NilError(t, err)
	for _, k := range f.Keys.Keys {
		if bytes.Contains(data, []byte(k.Key)) {
			return true
		}
	}
	return false
}
