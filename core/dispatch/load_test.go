package dispatch_test

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/dispatch"
)

// Load: a rolling update. Guards against replies that nodes of the version before can't read, and against replies of theirs that
// are refused or count as a report of the slowness.
func TestLoadIsReadByVersionsWithAndWithoutCosts(t *testing.T) {
	reply := dispatch.Reply{Run: call.WasRun, Load: call.Load{Running: 1, Waiting: 2, Limit: 8, WorkMs: 900, SlownessPercent: 160}}
	encoded, err := dispatch.Encode(reply)
	assert.NilError(t, err)
	var before struct {
		Load struct{ Running, Waiting, Limit int }
	}
	assert.NilError(t, json.Unmarshal([]byte(encoded), &before))
	assert.Equal(t, before.Load.Running+before.Load.Waiting+before.Load.Limit, 11)
	decoded, err := dispatch.Decode[dispatch.Reply](encoded)
	assert.NilError(t, err)
	assert.DeepEqual(t, decoded, reply)
	const withoutCosts = `{"run":"wasRun","load":{"Running":1,"Waiting":2,"Limit":8,"WaitMs":3,"Leaving":false}}`
	old, err := dispatch.Decode[dispatch.Reply](withoutCosts)
	assert.NilError(t, err)
	assert.DeepEqual(t, old.Load, call.Load{Running: 1, Waiting: 2, Limit: 8, WaitMs: 3})
	off, err := dispatch.Encode(dispatch.Reply{Run: call.WasRun, Load: call.Load{Running: 1, Limit: 8}})
	assert.NilError(t, err)
	assert.Equal(t, off, `{"run":"wasRun","load":{"Running":1,"Waiting":0,"Limit":8,"WaitMs":0,"Leaving":false}}`)
}
