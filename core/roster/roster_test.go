package roster_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

func listed(name string, revision int64, state vm.State) roster.Change {
	return roster.Change{Name: name, Revision: revision, VM: &vm.VM{Name: name, Service: "riders", State: state}}
}

func names(r *roster.Roster) string {
	all := ""
	for _, v := range r.VMs() {
		all += v.Name + ":" + string(v.State) + " "
	}
	return all
}

// Guards against a late list or peer that brings a target back which has begun to leave or is gone.
func TestOlderRevisionsChangeNothing(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 5, Full: true, Changes: []roster.Change{listed("a", 3, vm.Live), listed("b", 4, vm.Live)}}, 0)
	r.Apply(roster.Delta{Revision: 7, Changes: []roster.Change{listed("a", 7, vm.Leaving)}}, 10)
	r.Apply(roster.Delta{Revision: 5, Full: true, Changes: []roster.Change{listed("a", 3, vm.Live)}}, 20)
	r.RemoveExpired(20 + roster.UnlistedGraceMs)
	assert.Equal(t, names(r), "a:leaving ")
	assert.Equal(t, r.Revision(), int64(7))
}

// Guards against losing targets that live because their entries lapsed while the publisher was away, and against
// keeping those that do not come back.
func TestEntriesExpiredWhilePublisherWasUnreachableAreKeptForAWhile(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{
		listed("a", 1, vm.Live), listed("b", 1, vm.Live), listed("c", 1, vm.Leaving)}}, 0)
	r.MarkPublisherUnreachable()
	r.MarkPublisherReachable(10_000)
	r.Apply(roster.Delta{Revision: 9, Full: true}, 10_000)
	assert.Equal(t, names(r), "a:live b:live ", "a target that was leaving is not kept")
	r.Apply(roster.Delta{Revision: 10, Changes: []roster.Change{listed("a", 10, vm.Live)}}, 11_000)
	assert.Assert(t, r.RemoveExpired(10_000+roster.LapseGraceMs))
	assert.Equal(t, names(r), "a:live ")
}

// Guards against a removed target that is used for longer than it takes to ask the node beside it.
func TestRemovedEntryExpiresUnlessItsNodeConfirmsIt(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{
		listed("a", 1, vm.Live), listed("b", 2, vm.Live), listed("c", 2, vm.Leaving), listed("d", 2, vm.Live)}}, 0)
	news := r.Apply(roster.Delta{BaseRevision: 2, Revision: 5, Changes: []roster.Change{
		{Name: "b", Revision: 3}, {Name: "c", Revision: 4}, {Name: "d", Revision: 5}}}, 60_000)
	assert.Equal(t, len(news), 3)
	assert.Equal(t, names(r), "a:live b:live d:live ", "a target that was leaving is gone at once")
	assert.Assert(t, r.ConfirmServing("d", 60_100))
	assert.Assert(t, !r.ConfirmServing("a", 60_100), "nobody needs to vouch for a listed target")
	assert.Assert(t, !r.ConfirmServing("c", 60_100), "a target that has left can't be brought back")
	assert.Assert(t, r.RemoveExpired(60_000+roster.UnlistedGraceMs))
	assert.Equal(t, names(r), "a:live d:live ")
	assert.Assert(t, r.RemoveExpired(60_100+roster.ServingConfirmationMs))
	assert.Equal(t, names(r), "a:live ")
}

// Guards against vouching for a target whose entry lapsed while the publisher was away: it counts as gone if it is not
// listed again soon after the return.
func TestEntryExpiredWhilePublisherWasUnreachableCannotBeConfirmed(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{listed("a", 1, vm.Live)}}, 0)
	r.MarkPublisherUnreachable()
	r.MarkPublisherReachable(10_000)
	r.Apply(roster.Delta{Revision: 9, Full: true}, 10_100)
	assert.Assert(t, !r.ConfirmServing("a", 10_200))
	assert.Assert(t, r.RemoveExpired(10_000+roster.LapseGraceMs))
	assert.Equal(t, names(r), "")
}

// Guards against a peer that learns of additions only, or that is sent the whole list for each change.
func TestDeltaSinceIncludesRemovals(t *testing.T) {
	from, to := roster.New(), roster.New()
	from.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{listed("a", 1, vm.Live), listed("b", 2, vm.Live)}}, 0)
	to.Apply(from.DeltaSince(to.Revision()), 0)
	assert.Equal(t, names(to), names(from))
	from.Apply(roster.Delta{Revision: 4, Changes: []roster.Change{listed("c", 3, vm.Live), {Name: "a", Revision: 4}}}, 0)
	d := from.DeltaSince(to.Revision())
	assert.Equal(t, len(d.Changes), 2)
	to.Apply(d, 0)
	from.RemoveExpired(roster.UnlistedGraceMs)
	to.RemoveExpired(roster.UnlistedGraceMs)
	assert.Equal(t, names(to), names(from))
	assert.Equal(t, len(from.DeltaSince(4).Changes), 0)
}

// Guards against a report that was written late, from before a drain or a restart of the target.
func TestLateReportDoesNotRestoreATarget(t *testing.T) {
	report := func(revision, started, sequence int64, state vm.State) roster.Delta {
		v := vm.VM{Name: "a", State: state, StartedMs: started, Sequence: sequence}
		return roster.Delta{Revision: revision, Changes: []roster.Change{{Name: "a", Revision: revision, VM: &v}}}
	}
	r := roster.New()
	r.Apply(report(1, 1000, 8, vm.Leaving), 0)
	r.Apply(report(2, 1000, 7, vm.Live), 0)
	assert.Equal(t, names(r), "a:leaving ")
	r.Apply(report(3, 2000, 1, vm.Live), 0)
	assert.Equal(t, names(r), "a:live ", "a restarted target counts its reports anew")
	r.Apply(report(4, 1000, 9, vm.Leaving), 0)
	assert.Equal(t, names(r), "a:live ")
}

// Guards against a node that counts itself up to date after a message that followed a lost one.
func TestDeltaWithAGapDoesNotAdvanceTheRevision(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 5, Full: true, Changes: []roster.Change{listed("a", 3, vm.Live)}}, 0)
	r.Apply(roster.Delta{BaseRevision: 6, Revision: 7, Changes: []roster.Change{listed("b", 7, vm.Live)}}, 0)
	assert.Equal(t, names(r), "a:live b:live ")
	assert.Equal(t, r.Revision(), int64(5))
}

// Guards against requests for a target that crashed, whose entry stays listed beside that of its successor.
func TestOnlyTheLatestTargetOfAnAddressCounts(t *testing.T) {
	at := func(name string, revision, started int64) roster.Change {
		return roster.Change{Name: name, Revision: revision, VM: &vm.VM{
			Name: name, State: vm.Live, TargetAddress: "10.0.0.1:80", StartedMs: started}}
	}
	r := roster.New()
	r.Apply(roster.Delta{Revision: 9, Full: true, Changes: []roster.Change{at("new", 5, 2000), at("old", 9, 1000)}}, 0)
	assert.Equal(t, names(r), "new:live ")
	r.Apply(roster.Delta{BaseRevision: 9, Revision: 10, Changes: []roster.Change{{Name: "new", Revision: 10}}}, 0)
	r.RemoveExpired(roster.UnlistedGraceMs)
	assert.Equal(t, names(r), "old:live ")
}

// Guards against targets that are dropped because their entries lapsed while the platform was away, at nodes that learn of
// it from another node.
func TestLapseGraceIsForwardedToOtherNodes(t *testing.T) {
	reader, other := roster.New(), roster.New()
	live := roster.Change{Name: "a", Revision: 1, VM: &vm.VM{Name: "a", State: vm.Live, TargetAddress: "1:1"}}
	for _, r := range []*roster.Roster{reader, other} {
		r.Apply(roster.Delta{Full: true, Revision: 1, Changes: []roster.Change{live}}, 0)
	}
	reader.MarkPublisherUnreachable()
	reader.MarkPublisherReachable(10_000)
	lapsed := roster.Delta{BaseRevision: 1, Revision: 2, Changes: []roster.Change{{Name: "a", Revision: 2}}}
	reader.Apply(lapsed, 10_000)
	lapsed.LapseGraceMs = reader.LapseGrace(10_100)
	other.Apply(lapsed, 10_100)
	for _, r := range []*roster.Roster{reader, other} {
		r.RemoveExpired(10_000 + roster.LapseGraceMs - 1)
		assert.Equal(t, len(r.VMs()), 1)
		r.RemoveExpired(10_000 + roster.LapseGraceMs)
		assert.Equal(t, len(r.VMs()), 0)
	}
}

// Guards against targets that the nodes of a failure domain never learn of: a node that heard of some of them early passes
// on a list in which these are no news.
func TestForwardedDeltaIncludesEntriesKnownEarly(t *testing.T) {
	reader, other := roster.New(), roster.New()
	live := func(name string, revision int64) roster.Change {
		return roster.Change{Name: name, Revision: revision, VM: &vm.VM{Name: name, State: vm.Live, TargetAddress: name + ":1"}}
	}
	reader.Apply(roster.Delta{BaseRevision: 50, Revision: 60, Changes: []roster.Change{live("early", 55)}}, 0)
	base := reader.Revision()
	whole := roster.Delta{Full: true, Revision: 100, Changes: []roster.Change{live("early", 55), live("late", 90)}}
	reader.Apply(whole, 0)
	other.Apply(reader.DeltaToForward(base, whole), 0)
	assert.Equal(t, other.Revision(), int64(100))
	assert.Equal(t, len(other.VMs()), 2)
	ahead := roster.Delta{BaseRevision: 120, Revision: 130, Changes: []roster.Change{live("next", 125)}}
	reader.Apply(ahead, 0)
	assert.DeepEqual(t, reader.DeltaToForward(100, ahead), ahead)
}
