package fleet_test

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/fleet"
)

const accountsValue = `{"accounts":[{"id":"laurel","keyHashes":[],"ratePerSecond":10,"burst":5}]}`

// Guards against an invalid published value that is accepted or changes the last valid snapshot.
func TestWithSectionRejectsInvalidValues(t *testing.T) {
	valid, err := (&fleet.Snapshot{}).WithSection(fleet.Accounts, 3, json.RawMessage(accountsValue))
	assert.NilError(t, err)
	cases := []struct {
		name    string
		section fleet.SectionName
		value   string
		wantErr string
	}{
		{"unknown field", fleet.Accounts, `{"accounts":[],"x":1}`, "unknown field"},
		{"trailing data", fleet.Accounts, `{"accounts":[]} {}`, "unexpected data"},
		{"no rate", fleet.Accounts, `{"accounts":[{"id":"a","burst":1}]}`, "ratePerSecond"},
		{"bad hash", fleet.Accounts, `{"accounts":[{"id":"a","ratePerSecond":1,"burst":1,"keyHashes":["zz"]}]}`, "SHA-256"},
		{"undefined preset", fleet.Presets, `{"active":"peak","presets":{}}`, "not defined"},
		{"relative prefix", fleet.Routes, `{"routes":[{"prefix":"a","service":"s","class":"lookup"}]}`, "slash"},
		{"host name", fleet.VMs, `{"vms":[{"name":"a","failureDomain":"d","service":"s",
			"peerAddress":"h:1","state":"live"}]}`, "IP address"},
		{"no domains", fleet.Services, `{"services":[],"seatsPerDomain":1,"failureDomains":[]}`, "failureDomains"},
		{"unknown section", "other", `{}`, "unknown section"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, err := valid.WithSection(c.section, 4, json.RawMessage(c.value))
			assert.ErrorContains(t, err, c.wantErr)
			assert.Equal(t, valid.Versions[fleet.Accounts], int64(3))
		})
	}
}

// Guards against attributing a request to a client account that does not own the API key.
func TestAccountByKeyReturnsOwnerOfKey(t *testing.T) {
	value, err := json.Marshal(account.Section{Accounts: []account.Account{
		{ID: "a", KeyHashes: []string{account.HashKey("key-a")}, RatePerSecond: 1, Burst: 1},
		{ID: "b", KeyHashes: []string{account.HashKey("key-b")}, RatePerSecond: 1, Burst: 1},
	}})
	assert.NilError(t, err)
	s, err := (&fleet.Snapshot{}).WithSection(fleet.Accounts, 1, value)
	assert.NilError(t, err)
	got, ok := s.AccountByKey("key-b")
	assert.Assert(t, ok)
	assert.Equal(t, got.ID, "b")
	_, ok = s.AccountByKey("key-c")
	assert.Assert(t, !ok)
}

// Guards against a path that only starts with the same characters as a prefix, or that leaves it with "..", being routed to
// the prefix's service.
func TestRouteMatchesWholeSegments(t *testing.T) {
	value := `{"routes":[{"prefix":"/riders","service":"riders","class":"lookup"},
		{"prefix":"/riders/void","service":"voids","class":"onceOnly"}]}`
	s, err := (&fleet.Snapshot{}).WithSection(fleet.Routes, 1, json.RawMessage(value))
	assert.NilError(t, err)
	cases := map[string]string{
		"/riders": "riders", "/riders/7": "riders", "/riders/void/7": "voids", "/riders/voided": "riders",
		"/ridersx": "", "/riders/../signings": "", "/": "",
	}
	for path, want := range cases {
		r, ok := s.Route(path)
		assert.Equal(t, ok, want != "", path)
		assert.Equal(t, r.Service, want, path)
	}
}

// Guards against a key that is not found under its published hash, and against one that is found after it was revoked.
func TestAccountByKeyFollowsThePublishedHashes(t *testing.T) {
	longKey := strings.Repeat("k", 200)
	published := []account.Account{{ID: "a", KeyHashes: []string{account.HashKey("k1"), account.HashKey(longKey)}}}
	s := fleet.NewSnapshot(1, nil, published, nil, nil)
	for key, want := range map[string]bool{"k1": true, longKey: true, "k2": false, "": false} {
		a, ok := s.AccountByKey(key)
		assert.Equal(t, ok, want, key)
		assert.Equal(t, a.ID == "a", want, key)
	}
	s = fleet.NewSnapshot(2, nil, []account.Account{{ID: "a", KeyHashes: []string{account.HashKey("k2")}}}, nil, nil)
	_, ok := s.AccountByKey("k1")
	assert.Assert(t, !ok)
}

func BenchmarkAccountByKey(b *testing.B) {
	key := strings.Repeat("k", 32)
	s := fleet.NewSnapshot(1, nil, []account.Account{{ID: "a", KeyHashes: []string{account.HashKey(key)}}}, nil, nil)
	b.ReportAllocs()
	for b.Loop() {
		s.AccountByKey(key)
	}
}
