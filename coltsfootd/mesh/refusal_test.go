package mesh_test

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against a target that writes an earlier refusal once more on a kept connection: the caller would be told that its
// request has not run while the target runs it, or the request would run at a second target. The repeated refusal has the id of
// the request if the same request is sent to the same target again.
func TestRepeatedRefusalOfATargetIsNoAnswerToTheRequestThatRuns(t *testing.T) {
	f := newFleet(t, "voids")
	f.targets[0].repeatRefusals.Store(true)
	for range 20 {
		runs := f.targets[0].runs.Load()
		got := f.send(t, 0, http.MethodPost, "/voids/1", "secret", "x")
		ran := f.targets[0].runs.Load() - runs
		assert.Assert(t, got.status != http.StatusServiceUnavailable || ran == 0, "not run, says the answer of a request that ran")
		assert.Assert(t, ran <= 1, "%d runs", ran)
	}
}
