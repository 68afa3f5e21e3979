package roster_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
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

// Guards against a late list or an outdated peer that makes a leaving or removed target live again.
func TestOlderRevisionsChangeNothing(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 5, Full: true, Changes: []roster.Change{listed("a", 3, vm.Live), listed("b", 4, vm.Live)}}, 0)
	r.Apply(roster.Delta{Revision: 7, Changes: []roster.Change{listed("a", 7, vm.Leaving)}}, 10)
	r.Apply(roster.Delta{Revision: 5, Full: true, Changes: []roster.Change{listed("a", 3, vm.Live)}}, 20)
	r.RemoveExpired(20 + roster.UnlistedGraceMs)
	assert.Equal(t, names(r), "a:leaving ")
	assert.Equal(t, r.Position(), history.Position{Revision: 7})
}

// Guards against losing live targets because their entries expired while the publisher was unreachable, and against
// keeping those that are not written again.
func TestEntriesExpiredWhilePublisherWasUnreachableAreKeptForAWhile(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{
		listed("a", 1, vm.Live), listed("b", 1, vm.Live), listed("c", 1, vm.Leaving)}}, 0)
	r.MarkPublisherUnreachable(9000)
	r.MarkPublisherReachable(10_000)
	r.Apply(roster.Delta{Revision: 9, Full: true}, 10_000)
	assert.Equal(t, names(r), "a:live b:live ", "a target that was leaving is not kept")
	r.Apply(roster.Delta{Revision: 10, Changes: []roster.Change{listed("a", 10, vm.Live)}}, 11_000)
	assert.Assert(t, r.RemoveExpired(10_000+roster.LapseGraceMs))
	assert.Equal(t, names(r), "a:live ")
}

// Guards against using a removed target for longer than it takes to ask the node beside it.
func TestRemovedEntryExpiresUnlessItsNodeConfirmsIt(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{
		listed("a", 1, vm.Live), listed("b", 2, vm.Live), listed("c", 2, vm.Leaving), listed("d", 2, vm.Live)}}, 0)
	applied := r.Apply(roster.Delta{BaseRevision: 2, Revision: 5, Changes: []roster.Change{
		{Name: "b", Revision: 3}, {Name: "c", Revision: 4}, {Name: "d", Revision: 5}}}, 60_000)
	assert.Equal(t, len(applied), 3)
	assert.Equal(t, names(r), "a:live b:live d:live ", "a target that was leaving is removed at once")
	assert.Assert(t, r.ConfirmServing("d", 60_100))
	assert.Assert(t, !r.ConfirmServing("a", 60_100), "a listed target needs no confirmation")
	assert.Assert(t, !r.ConfirmServing("c", 60_100), "a target that has left can't be confirmed")
	assert.Assert(t, r.RemoveExpired(60_000+roster.UnlistedGraceMs))
	assert.Equal(t, names(r), "a:live d:live ")
	assert.Assert(t, r.RemoveExpired(60_100+roster.ServingConfirmationMs))
	assert.Equal(t, names(r), "a:live ")
}

// Guards against confirming a target whose entry expired while the publisher was unreachable. It is removed unless it is
// listed again soon after the publisher's return.
func TestEntryExpiredWhilePublisherWasUnreachableCannotBeConfirmed(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{listed("a", 1, vm.Live)}}, 0)
	r.MarkPublisherUnreachable(9000)
	r.MarkPublisherReachable(10_000)
	r.Apply(roster.Delta{Revision: 9, Full: true}, 10_100)
	assert.Assert(t, !r.ConfirmServing("a", 10_200))
	assert.Assert(t, r.RemoveExpired(10_000+roster.LapseGraceMs))
	assert.Equal(t, names(r), "")
}

// Guards against a failed call of the last moments of an outage, or from long ago at a node that no longer reads, that counts as
// a new outage: removed targets would stay in use for longer than the operators allow.
func TestOldFailuresAreNoNewOutage(t *testing.T) {
	for name, calls := range map[string]func(r *roster.Roster){
		"failure known after the first answer": func(r *roster.Roster) {
			r.MarkPublisherUnreachable(6000)
			r.MarkPublisherReachable(9350)
			r.MarkPublisherUnreachable(9200)
		},
		"answers at other nodes": func(r *roster.Roster) {
			r.MarkPublisherUnreachable(6000)
			r.MarkPublisherReachable(9350)
			r.MarkPublisherUnreachable(10_000)
			r.MarkPublisherReachable(10_200)
		},
		"one lost answer": func(r *roster.Roster) {
			r.MarkPublisherReachable(19_000)
			r.MarkPublisherUnreachable(19_500)
		},
	} {
		t.Run(name, func(t *testing.T) {
			r := roster.New()
			r.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{listed("a", 1, vm.Live)}}, 0)
			r.MarkPublisherReachable(5000)
			calls(r)
			r.MarkPublisherReachable(20_000)
			r.Apply(roster.Delta{Revision: 3, Full: true}, 20_000)
			assert.Equal(t, r.LapseGrace(20_000), clock.Millis(0))
			assert.Assert(t, r.RemoveExpired(20_000+roster.UnlistedGraceMs))
		})
	}
}

// Guards against a peer that only learns of additions, or that gets the whole list for each change.
func TestDeltaSinceIncludesRemovals(t *testing.T) {
	from, to := roster.New(), roster.New()
	from.Apply(roster.Delta{Revision: 2, Full: true, Changes: []roster.Change{listed("a", 1, vm.Live), listed("b", 2, vm.Live)}}, 0)
	to.Apply(from.DeltaSince(to.Position()), 0)
	assert.Equal(t, names(to), names(from))
	from.Apply(roster.Delta{Revision: 4, Changes: []roster.Change{listed("c", 3, vm.Live), {Name: "a", Revision: 4}}}, 0)
	d := from.DeltaSince(to.Position())
	assert.Equal(t, len(d.Changes), 2)
	to.Apply(d, 0)
	from.RemoveExpired(roster.UnlistedGraceMs)
	to.RemoveExpired(roster.UnlistedGraceMs)
	assert.Equal(t, names(to), names(from))
	assert.Equal(t, len(from.DeltaSince(history.Position{Revision: 4}).Changes), 0)
}

// Guards against an outdated report, from before a drain or a restart of the target, that is written late.
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
	assert.Equal(t, names(r), "a:live ", "a restarted target starts a new sequence of reports")
	r.Apply(report(4, 1000, 9, vm.Leaving), 0)
	assert.Equal(t, names(r), "a:live ")
}

// Guards against a removed target that is live again on a node that gets a delayed message, or reads an older list, in which the
// target is still listed.
func TestLateMessageDoesNotListARemovedTargetAgain(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 9, Full: true, Changes: []roster.Change{listed("b", 2, vm.Live)}}, 0)
	r.Apply(roster.Delta{BaseRevision: 6, Revision: 7, Changes: []roster.Change{listed("a", 7, vm.Live)}}, 10)
	r.Apply(roster.Delta{Revision: 7, Full: true, Changes: []roster.Change{listed("a", 7, vm.Live), listed("b", 2, vm.Live)}}, 20)
	assert.Equal(t, names(r), "b:live ")
	r.Apply(roster.Delta{BaseRevision: 11, Revision: 12, Changes: []roster.Change{listed("a", 12, vm.Live)}}, 30)
	assert.Equal(t, names(r), "a:live b:live ", "a later change lists the target")
}

// Guards against a node that considers itself up to date after a delta that follows a lost one.
func TestDeltaWithAGapDoesNotAdvanceTheRevision(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Revision: 5, Full: true, Changes: []roster.Change{listed("a", 3, vm.Live)}}, 0)
	r.Apply(roster.Delta{BaseRevision: 6, Revision: 7, Changes: []roster.Change{listed("b", 7, vm.Live)}}, 0)
	assert.Equal(t, names(r), "a:live b:live ")
	assert.Equal(t, r.Position(), history.Position{Revision: 5})
}

// Guards against requests to a crashed target whose entry is still listed beside that of its successor.
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

// Guards against dropping targets whose entries expired while the platform was unreachable, on nodes that get the removal
// from another node.
func TestLapseGraceIsForwardedToOtherNodes(t *testing.T) {
	reader, other := roster.New(), roster.New()
	live := roster.Change{Name: "a", Revision: 1, VM: &vm.VM{Name: "a", State: vm.Live, TargetAddress: "1:1"}}
	for _, r := range []*roster.Roster{reader, other} {
		r.Apply(roster.Delta{Full: true, Revision: 1, Changes: []roster.Change{live}}, 0)
	}
	reader.MarkPublisherUnreachable(9000)
	reader.MarkPublisherReachable(10_000)
	removal := roster.Delta{BaseRevision: 1, Revision: 2, Changes: []roster.Change{{Name: "a", Revision: 2}}}
	reader.Apply(removal, 10_000)
	removal.LapseGraceMs = reader.LapseGrace(10_100)
	other.Apply(removal, 10_100)
	for _, r := range []*roster.Roster{reader, other} {
		r.RemoveExpired(10_000 + roster.LapseGraceMs - 1)
		assert.Equal(t, len(r.VMs()), 1)
		r.RemoveExpired(10_000 + roster.LapseGraceMs)
		assert.Equal(t, len(r.VMs()), 0)
	}
}

// Guards against targets that the nodes of a failure domain never learn of, because the forwarding node had heard of them
// early and leaves them out of the delta as nothing new.
func TestForwardedDeltaIncludesEntriesKnownEarly(t *testing.T) {
	reader, other := roster.New(), roster.New()
	live := func(name string, revision int64) roster.Change {
		return roster.Change{Name: name, Revision: revision, VM: &vm.VM{Name: name, State: vm.Live, TargetAddress: name + ":1"}}
	}
	reader.Apply(roster.Delta{BaseRevision: 50, Revision: 60, Changes: []roster.Change{live("early", 55)}}, 0)
	base := reader.Position()
	full := roster.Delta{Full: true, Revision: 100, Changes: []roster.Change{live("early", 55), live("late", 90)}}
	reader.Apply(full, 0)
	other.Apply(reader.DeltaToForward(base, full), 0)
	assert.Equal(t, other.Position(), history.Position{Revision: 100})
	assert.Equal(t, len(other.VMs()), 2)
	ahead := roster.Delta{BaseRevision: 120, Revision: 130, Changes: []roster.Change{live("next", 125)}}
	reader.Apply(ahead, 0)
	assert.DeepEqual(t, reader.DeltaToForward(history.Position{Revision: 100}, ahead), ahead)
}

// Guards against a list entry that can't be used, is in every list, and drives the removals of real targets out of memory.
func TestEntryThatIsNeverUsableIsRecordedOnce(t *testing.T) {
	r := roster.New()
	list := roster.Delta{Revision: 9, Full: true, Changes: []roster.Change{listed("a", 2, vm.Live), {Name: "odd", Revision: 3}}}
	for i := range 2000 {
		r.Apply(list, clock.Millis(i))
	}
	assert.Equal(t, len(r.DeltaSince(history.Position{Revision: 1}).Changes), 2)
}
