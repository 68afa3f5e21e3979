package directory

import (
	"encoding/json"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a malformed message from another node that crashes the process, or puts an empty policy or list into force.
func TestMalformedMessagesAreRejected(t *testing.T) {
	for _, body := range []string{
		"", "[]", `"x"`, `{"ageMs":-2}`, `{"ageMs":1e400}`, `{"policyVersion":-1}`, `{"policy":{}}`, `{"policy":{"version":-1}}`,
		`{"policy":{"version":"1"}}`, `{"roster":{"revision":-1}}`, `{"roster":{"changes":[null]}}`, `{"roster":{"changes":[{}]}}`,
		`{"roster":{"changes":[{"name":"a","revision":1,"vm":{}}]}}`, `{"roster":{"changes":[{"name":"a","revision":0}]}}`,
		`{"roster":{"lapseGraceMs":-5}}`, `{"ageMs":0`, strings.Repeat(`{"policy":`, 1_000_000),
	} {
		_, err := decodeMessage(strings.NewReader(body))
		assert.Assert(t, err != nil, "%.40s", body)
	}
	m, err := decodeMessage(strings.NewReader(`{"ageMs":5,"aFieldOfALaterVersion":[1,2]}`))
	assert.NilError(t, err, "unknown fields of a later version are ignored")
	assert.Equal(t, int64(m.AgeMs), int64(5))
}

// Guards against a malformed announcement that marks another node as leaving, or ends its waiting requests at once.
func TestMalformedLeaveMessagesAreRejected(t *testing.T) {
	assert.NilError(t, LeaveMessage{From: "a", Incarnation: 7, AnswersForMs: 100}.Validate())
	for _, m := range []LeaveMessage{{Incarnation: 7}, {From: "a"}, {From: "a", Incarnation: 7, AnswersForMs: -1}} {
		assert.Assert(t, m.Validate() != nil, "%+v", m)
	}
}

// Guards against messages from another node that crash the process or that change when they are encoded again.
func FuzzDecodeMessage(f *testing.F) {
	f.Add(`{"from":"1.2.3.4:5","incarnation":"7","policyVersion":3,"revision":9,"ageMs":20}`)
	f.Add(`{"ageMs":-1,"policy":{"version":3,"routes":[{"prefix":"/a/","class":"lookup"}]}}`)
	f.Add(`{"ageMs":-1,"roster":{"revision":9,"whole":true,"changes":[{"name":"a","revision":4,"vm":{"name":"a","service":"s"}}]}}`)
	f.Fuzz(func(t *testing.T, raw string) {
		m, err := decodeMessage(strings.NewReader(raw))
		if err != nil {
			return
		}
		encoded, err := json.Marshal(m)
		assert.NilError(t, err)
		again, err := decodeMessage(strings.NewReader(string(encoded)))
		assert.NilError(t, err)
		second, err := json.Marshal(again)
		assert.NilError(t, err)
		assert.Equal(t, string(encoded), string(second))
	})
}
