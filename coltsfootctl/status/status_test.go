package status

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootctl/node"
	"coltsfootusher.example/coltsfootd/operator"
	"coltsfootusher.example/core/warmup"
)

// Guards against a cold target that operators can't see, and against a line for each warm one.
func TestColdTargetsAreNamed(t *testing.T) {
	states := map[string]*warmup.State{
		"n1": nil, "n2": {}, "n3": {Cold: true, Reason: warmup.ReasonListed, LeftMs: 2100},
		"n4": {Cold: true, Assumed: true, Reason: warmup.ReasonRefused}, "n5": {Ramping: true},
	}
	var results []node.Result[operator.Status]
	for name, s := range states {
		results = append(results, node.Result[operator.Status]{Address: name, Value: operator.Status{Node: name, TargetWarmup: s}})
	}
	var out strings.Builder
	assert.NilError(t, New(results).WriteTable(&out))
	for text, want := range map[string]bool{
		"n1:": false, "n2:": false, "n3: the target is cold for 2.1s (listed)\n": true,
		"n4: the target counts as cold until its state is known (connectionRefused)\n": true,
		"n5: the load of the target grows after its warm-up\n":                         true,
	} {
		assert.Equal(t, strings.Contains(out.String(), text), want, "%q in:\n%s", text, out.String())
	}
}
