package targetstatus

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"
)

var t1, t2 = Lifetime{Target: "t1"}, Lifetime{Target: "t2"}

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
		s, changed := tracker.Observe(t1, Report{Status: step.says})
		assert.Equal(t, s, step.says)
		assert.Equal(t, changed, step.changed)
	}
}

// Guards against a malformed value that lifts a limit, or that makes a leaving target count as staying.
func TestUnreadablePartKeepsThePreviousValue(t *testing.T) {
	var tracker Tracker
	tracker.Observe(t1, Report{Status: Status{Limited: true, LimitPerSecond: 50, Leaving: true}})
	s, _ := tracker.Observe(t1, Report{LimitErr: Error.New("malformed")})
	assert.Equal(t, s, Status{Limited: true, LimitPerSecond: 50, Leaving: true})
	s, _ = tracker.Observe(t1, Report{Status: limit(20), LeavingErr: Error.New("malformed")})
	assert.Equal(t, s, Status{Limited: true, LimitPerSecond: 20, Leaving: true})
}

// Guards against applying the status of a former target to the one that has taken over its address.
func TestStatusDoesNotPassToAnotherTargetAtTheAddress(t *testing.T) {
	var tracker Tracker
	tracker.Observe(t1, Report{Status: Status{Limited: true, LimitPerSecond: 5, Leaving: true}})
	assert.Equal(t, tracker.Status(t2), Status{})
	_, changed := tracker.Observe(t2, Report{})
	assert.Assert(t, changed, "the limit of the former target must end")
	assert.Equal(t, tracker.Status(t1), Status{})
	assert.Assert(t, tracker.Forget("t2") && !tracker.Forget("t2"))
}

// Guards against a restarted node that ignores what other nodes know, and against outdated knowledge of others that replaces what
// the target itself has said.
func TestOnlyANodeWithoutAnAnswerAdoptsTheStatusOfOthers(t *testing.T) {
	var tracker Tracker
	assert.Assert(t, !tracker.Adopt(t1, Status{}))
	assert.Assert(t, tracker.Adopt(t1, limit(5)))
	assert.Equal(t, tracker.Status(t1), limit(5))
	tracker.Observe(t1, Report{})
	assert.Assert(t, !tracker.Adopt(t1, limit(5)))
	assert.Equal(t, tracker.Status(t1), Status{})
}

// Guards against new requests to a leaving target, because an answer that it wrote before it left is read later, because its
// health answers are false, or because replies of its node overtake each other. Only a new lifetime ends the leaving.
func TestLeavingHoldsUntilTheEndOfTheLifetime(t *testing.T) {
	first := Lifetime{Target: "t1", StartedMs: 1000}
	second := Lifetime{Target: "t1", StartedMs: 2000}
	leaving := Status{Leaving: true, StartedMs: 1000}
	var tracker Tracker
	tracker.Observe(first, Report{Status: Status{Leaving: true}})
	s, changed := tracker.Observe(first, Report{})
	assert.Assert(t, !changed)
	assert.Equal(t, s, leaving)
	assert.Equal(t, tracker.Status(second), Status{})
	assert.Assert(t, !tracker.Adopt(second, leaving), "other nodes may not know of the new lifetime yet")
	s, changed = tracker.Observe(second, Report{})
	assert.Assert(t, changed)
	assert.Equal(t, s, Status{})
	b := NewBook()
	b.Record(first, leaving, 0)
	assert.Assert(t, !b.Record(first, Status{}, 10))
	assert.Equal(t, b.Get(first), leaving)
	b.Record(second, Status{}, 20)
	assert.Equal(t, b.Get(second), Status{})
	b.Record(second, leaving, 30)
	assert.Equal(t, b.Get(second), Status{}, "a reply about the former lifetime")
}

// Guards against a restarted target that is never used, because it said that it leaves after its entry had gone from the list, so
// that the lifetime of the statement was not known.
func TestLeavingOfAnUnlistedTargetEndsWithItsLifetime(t *testing.T) {
	listed, unlisted := Lifetime{Target: "t1", StartedMs: 1000}, Lifetime{Target: "t1"}
	restarted := Lifetime{Target: "t1", StartedMs: 2000}
	var tracker Tracker
	tracker.Observe(listed, Report{})
	tracker.Observe(unlisted, Report{Status: Status{Leaving: true}})
	assert.Assert(t, tracker.Status(listed).Leaving && tracker.Status(unlisted).Leaving)
	assert.Equal(t, tracker.Status(restarted), Status{})
	b := NewBook()
	b.Record(listed, Status{Leaving: true}, 0)
	assert.Assert(t, b.Get(listed).Leaving)
	assert.Equal(t, b.Get(restarted), Status{})
}

// Guards against a node that goes on using a leaving target because it has an older answer of the target itself.
func TestLeavingIsAdoptedBesideAnAnswerOfTheTarget(t *testing.T) {
	var tracker Tracker
	tracker.Observe(t1, Report{Status: limit(5)})
	assert.Assert(t, tracker.Adopt(t1, Status{Leaving: true}))
	assert.Equal(t, tracker.Status(t1), Status{Limited: true, LimitPerSecond: 5, Leaving: true})
	assert.Assert(t, !tracker.Adopt(t1, Status{Leaving: true}))
	assert.Assert(t, !tracker.Adopt(t2, Status{Leaving: true}), "another target serves at the address")
}

// Guards against memory that grows with every target that ever named a limit.
func TestBookForgetsUnlistedTargets(t *testing.T) {
	b := NewBook()
	assert.Assert(t, b.Record(t1, limit(5), 0))
	assert.Assert(t, !b.Record(t1, limit(5), 10))
	unlisted := func(string) bool { return false }
	b.DropUnlisted(unlisted, 10+keepUnlistedMs-1)
	assert.Equal(t, b.Get(t1), limit(5))
	b.DropUnlisted(unlisted, 10+keepUnlistedMs)
	assert.Equal(t, b.Get(t1), Status{})
	b.Record(t2, limit(5), 0)
	assert.Assert(t, b.Record(t2, Status{}, 1))
	assert.Equal(t, len(b.entries), 0)
}

// Guards against a limit from another node that is no number.
func TestStatusOutOfRangeIsInvalid(t *testing.T) {
	for _, v := range []float64{-1, math.NaN(), math.Inf(1), 2 * MaxLimitPerSecond} {
		assert.Assert(t, limit(v).Validate() != nil)
	}
	assert.NilError(t, limit(0).Validate())
}
