package auth_test

import (
	"bytes"
	"net/http/httptest"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/peer/auth"
)

const maxBody = 1 << 10

var start = time.UnixMilli(1_700_000_000_000)

func newSigner(t *testing.T, node, secret string, now *time.Time) *auth.Signer {
	t.Helper()
	s, err := auth.New(node, []byte(secret), 10*time.Second, func() time.Time { return *now })
	assert.NilError(t, err)
	return s
}

// Guards against accepting a request on the peer port that is unsigned, signed with another secret, changed, too old,
// replayed or addressed to another node.
func TestVerifyRejectsForgedRequests(t *testing.T) {
	now := start
	sender := newSigner(t, "a", "0123456789abcdef", &now)
	receiver := newSigner(t, "b", "0123456789abcdef", &now)
	otherFleet := newSigner(t, "a", "fedcba9876543210", &now)
	cases := []struct {
		name   string
		signer *auth.Signer
		to     string
		change func(header map[string][]string, body *[]byte)
		delay  time.Duration
		want   string
	}{
		{name: "valid", signer: sender, to: "b"},
		{name: "other secret", signer: otherFleet, to: "b", want: "does not match"},
		{name: "other receiver", signer: sender, to: "c", want: "addressed to"},
		{name: "stale", signer: sender, to: "b", delay: 11 * time.Second, want: "old"},
		{name: "unsigned", signer: sender, to: "b", want: "not signed",
			change: func(h map[string][]string, _ *[]byte) { delete(h, auth.SignatureHeader) }},
		{name: "changed call", signer: sender, to: "b", want: "does not match",
			change: func(h map[string][]string, _ *[]byte) { h[auth.CallHeader] = []string{"other"} }},
		{name: "changed body", signer: sender, to: "b", want: "does not match",
			change: func(_ map[string][]string, body *[]byte) { *body = []byte("other") }},
		{name: "long body", signer: sender, to: "b", want: "longer",
			change: func(_ map[string][]string, body *[]byte) { *body = make([]byte, maxBody+1) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			now = start
			body := []byte("body")
			r := httptest.NewRequest("POST", "/call", nil)
			r.Header.Set(auth.CallHeader, "call")
			assert.NilError(t, c.signer.Sign(r, c.to, body))
			if c.change != nil {
				c.change(r.Header, &body)
			}
			now = now.Add(c.delay)
			sent := httptest.NewRequest("POST", "/call", bytes.NewReader(body))
			sent.Header = r.Header
			from, got, err := receiver.Verify(sent, maxBody)
			if c.want != "" {
				assert.ErrorContains(t, err, c.want)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, from, "a")
			assert.DeepEqual(t, got, body)
			replayed := httptest.NewRequest("POST", "/call", bytes.NewReader(body))
			replayed.Header = r.Header
			_, _, err = receiver.Verify(replayed, maxBody)
			assert.ErrorContains(t, err, "received before")
		})
	}
}
