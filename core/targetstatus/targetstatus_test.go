package targetstatus

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

func limit(perSecond float64) Status {
	return Status{Limited: true, LimitPerSecond: perSecond}
}

// Guards against a limit that stays after the target has stopped naming it, or that is not replaced by a later one.
func TestLastAnswerOfTheTargetDecides(t *testing.T) {
	var tracker Tracker
	for _, step := range []struct {
		says    Status
		changed bool
	}{
		{Status{}, false}, {limit(50), true}, {limit(50), false}, {limit(20), true}, {limit(80), true}, {Status{}, true},
		{limit(50), true},
	} {
		s, changed := tracker.Observe("t1", Report{Status: step.says})
		assert.Equal(t, s, step.says)
		assert.Equal(t, changed, step.changed)
	}
}

// Guards against a malformed value that lifts a limit, or that makes a leaving target count as staying.
func TestUnreadablePartKeepsThePreviousValue(t *testing.T) {
	var tracker Tracker
	tracker.Observe("t1", Report{Status: Status{Limited: true, LimitPerSecond: 50, Leaving: true}})
	s, _ := tracker.Observe("t1", Report{LimitErr: Error.New("malformed")})
	assert.Equal(t, s, limit(50))
	s, _ = tracker.Observe("t1", Report{Status: limit(20), LeavingErr: Error.New("malformed")})
	assert.Equal(t, s, limit(20))
}

// Guards against applying the status of a former target to the one that has taken over its address.
func TestStatusDoesNotPassToAnotherTargetAtTheAddress(t *testing.T) {
	var tracker Tracker
	tracker.Observe("t1", Report{Status: Status{Limited: true, LimitPerSecond: 5, Leaving: true}})
	assert.Equal(t, tracker.Status("t2"), Status{})
	_, changed := tracker.Observe("t2", Report{})
	assert.Assert(t, changed, "the limit of the former target must end")
	assert.Equal(t, tracker.Status("t1"), Status{})
	assert.Assert(t, tracker.Forget("t2") && !tracker.Forget("t2"))
}

// Guards against a restarted node that ignores what other nodes know, and against outdated knowledge of others that replaces what
// the target itself has said.
func TestOnlyANodeWithoutAnAnswerAdoptsTheStatusOfOthers(t *testing.T) {
	var tracker Tracker
	assert.Assert(t, !tracker.Adopt("t1", Status{}))
	assert.Assert(t, tracker.Adopt("t1", limit(5)))
	assert.Equal(t, tracker.Status("t1"), limit(5))
	tracker.Observe("t1", Report{})
	assert.Assert(t, !tracker.Adopt("t1", limit(5)))
	assert.Equal(t, tracker.Status("t1"), Status{})
}

// Guards against memory that grows with every target that ever named a limit.
func TestBookForgetsUnlistedTargets(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Record("t1", limit(5), 0))
	assert.Assert(t, !b.Record("t1", limit(5), 10))
	unlisted := func(string) bool { return false }
	b.DropUnlisted(unlisted, 10+keepUnlistedMs-1)
	assert.Equal(t, b.Get("t1"), limit(5))
	b.DropUnlisted(unlisted, 10+keepUnlistedMs)
	assert.Equal(t, b.Get("t1"), Status{})
	b.Record("t2", limit(5), 0)
	assert.Assert(t, b.Record("t2", Status{}, 1))
	assert.Equal(t, len(b.entries), 0)
}

// Guards against a limit from another node that is no number.
func TestStatusOutOfRangeIsInvalid(t *testing.T) {
	for _, v := range []float64{-1, math.NaN(), math.Inf(1), 2 * MaxLimitPerSecond} {
		assert.Assert(t, limit(v).Validate() != nil)
	}
	assert.NilError(t, limit(0).Validate())
}
