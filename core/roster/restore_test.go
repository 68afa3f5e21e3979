package roster_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

// reported returns the entry of a target that started at 1000, as its report with this number states it.
func reported(name string, epoch, revision, report int64, state vm.State) roster.Change {
	return roster.Change{Name: name, Epoch: epoch, Revision: revision, VM: &vm.VM{
		Name: name, Service: "riders", State: state, StartedMs: 1000, Sequence: report}}
}

func fullList(epoch, revision int64, changes ...roster.Change) roster.Delta {
	return roster.Delta{Epoch: epoch, Revision: revision, Full: true, Changes: changes}
}

// The publisher returns from a copy some seconds old and gives out its revisions a second time. Guards against ignoring a target
// that then says that it leaves, because its revision is lower than one that was seen before.
func TestTargetThatLeavesAfterARestoreOfThePublisherIsLeaving(t *testing.T) {
	r := roster.New()
	r.Apply(roster.Delta{Epoch: 1, Revision: 27, Full: true, Changes: []roster.Change{
		reported("a", 1, 27, 3, vm.Live), reported("b", 1, 9, 1, vm.Live)}}, 0)
	copied := []roster.Change{reported("a", 2, 14, 1, vm.Live), reported("b", 2, 9, 1, vm.Live)}
	r.Apply(roster.Delta{Epoch: 2, Revision: 14, Full: true, Changes: copied}, 10_000)
	r.Apply(roster.Delta{Epoch: 2, Revision: 15, Changes: []roster.Change{reported("a", 2, 15, 20, vm.Leaving)}}, 12_000)
	assert.Equal(t, names(r), "a:leaving b:live ")
}

// Guards against using a target again that has left or is leaving, because the copy of the restored publisher still lists it,
// also on a node that has started since and knows the target only from others.
func TestCopyOfTheRestoredPublisherTakesNoLeavingBack(t *testing.T) {
	witness := roster.New()
	witness.Apply(fullList(1, 5, reported("gone", 1, 4, 3, vm.Live), reported("leaving", 1, 5, 3, vm.Live)), 0)
	witness.Apply(roster.Delta{Epoch: 1, BaseEpoch: 1, BaseRevision: 5, Revision: 8, Changes: []roster.Change{
		reported("gone", 1, 6, 8, vm.Leaving), reported("leaving", 1, 7, 8, vm.Leaving), {Name: "gone", Epoch: 1, Revision: 8}}}, 1000)
	started := roster.New()
	started.Apply(witness.DeltaSince(history.Position{}), 2000)
	copied := fullList(2, 5, reported("gone", 2, 4, 3, vm.Live), reported("leaving", 2, 5, 3, vm.Live))
	for _, r := range []*roster.Roster{witness, started} {
		r.MarkPublisherRestored(5000)
		r.Apply(copied, 5000)
		assert.Equal(t, names(r), "leaving:leaving ")
		r.Apply(roster.Delta{Epoch: 2, Revision: 9, Changes: []roster.Change{reported("gone", 2, 9, 9, vm.Live)}}, 6000)
		assert.Equal(t, names(r), "gone:live leaving:leaving ", "a newer report comes from the target, not from the copy")
	}
}

// Guards against a live target that stays out for good, because the restored publisher lists it by a report that was known before
// its entry expired.
func TestTargetThatRemainsListedAfterARestoreIsUsedAgain(t *testing.T) {
	r := roster.New()
	r.Apply(fullList(1, 5, reported("a", 1, 4, 3, vm.Live)), 0)
	r.Apply(roster.Delta{Epoch: 1, BaseEpoch: 1, BaseRevision: 5, Revision: 6, Changes: []roster.Change{
		{Name: "a", Epoch: 1, Revision: 6}}}, 100)
	r.RemoveExpired(100 + roster.UnlistedGraceMs)
	r.MarkPublisherRestored(5000)
	r.Apply(fullList(2, 4, reported("a", 2, 4, 3, vm.Live)), 5000)
	assert.Equal(t, names(r), "")
	r.Apply(fullList(2, 4, reported("a", 2, 4, 3, vm.Live)), 20_000)
	assert.Equal(t, names(r), "a:live ")
}

// Guards against dropping targets at once that joined in the seconds that the restored publisher has lost, and against keeping
// those that don't write their entry again.
func TestTargetsMissingInTheCopyAreKeptForAWhile(t *testing.T) {
	r := roster.New()
	r.Apply(fullList(1, 9, reported("alive", 1, 8, 1, vm.Live), reported("dead", 1, 9, 1, vm.Live)), 0)
	r.MarkPublisherRestored(10_000)
	r.Apply(fullList(2, 5), 10_000)
	assert.Equal(t, names(r), "alive:live dead:live ")
	r.Apply(roster.Delta{Epoch: 2, BaseEpoch: 2, BaseRevision: 5, Revision: 6, Changes: []roster.Change{
		reported("alive", 2, 6, 7, vm.Live)}}, 11_000)
	r.RemoveExpired(10_000 + roster.LapseGraceMs)
	assert.Equal(t, names(r), "alive:live ")
}

// Guards against a restore that makes every node fetch the whole list from others: they need only what differs from the copy.
func TestOnlyWhatARestoreChangesIsSentToOtherNodes(t *testing.T) {
	for _, targets := range []int64{195, 2500} {
		before := fullList(1, targets)
		after := fullList(2, targets)
		for i := range targets {
			name := fmt.Sprintf("i-%010d", i)
			before.Changes = append(before.Changes, reported(name, 1, i+1, 1, vm.Live))
			after.Changes = append(after.Changes, reported(name, 2, i+1, 1, vm.Live))
		}
		reader, other := roster.New(), roster.New()
		reader.Apply(before, 0)
		other.Apply(reader.DeltaSince(history.Position{}), 0)
		after.Changes[7] = reported(after.Changes[7].Name, 2, targets, 9, vm.Leaving)
		reader.Apply(after, 10_000)
		d := reader.DeltaSince(other.Position())
		encoded, err := json.Marshal(d)
		assert.NilError(t, err)
		assert.Assert(t, !d.Full && len(d.Changes) == 1 && len(encoded) < 1000, "%d changes, %d bytes", len(d.Changes), len(encoded))
		other.Apply(d, 10_000)
		assert.Equal(t, names(other), names(reader))
		assert.Equal(t, other.Position(), reader.Position())
	}
}

// Guards against an entry that stays on one node for good, because the publisher has lost it and no other node has seen it.
func TestNodeAheadOfTheOthersBeforeARestoreGetsTheWholeList(t *testing.T) {
	reader, ahead := roster.New(), roster.New()
	reader.Apply(fullList(1, 5, reported("a", 1, 4, 1, vm.Live)), 0)
	ahead.Apply(fullList(1, 6, reported("a", 1, 4, 1, vm.Live), reported("lost", 1, 6, 1, vm.Live)), 0)
	reader.MarkPublisherRestored(60_000)
	reader.Apply(fullList(2, 5, reported("a", 2, 4, 1, vm.Live)), 60_000)
	d := reader.DeltaSince(ahead.Position())
	assert.Assert(t, d.Full)
	ahead.Apply(d, 61_000)
	ahead.RemoveExpired(70_000)
	assert.Equal(t, names(ahead), "a:live ")
}

// entryLifeMs is the time for which the publisher keeps an entry that is no longer written.
const entryLifeMs clock.Millis = 4500

// publisher is a model of a store that can be restored, with the targets that report there.
type publisher struct {
	at       history.Position
	entries  map[string]roster.Change
	alive    map[string]vm.VM
	copies   []map[string]roster.Change
	revision []int64
	// events are the changes of the current epoch since its last restore.
	events []roster.Change
}

func (p *publisher) write(c roster.Change) {
	p.copies, p.revision = append(p.copies, maps.Clone(p.entries)), append(p.revision, p.at.Revision)
	p.at.Revision++
	c.Epoch, c.Revision = p.at.Epoch, p.at.Revision
	p.events = append(p.events, c)
	p.entries[c.Name] = c
	if c.VM == nil {
		delete(p.entries, c.Name)
	}
}

// report writes the entry of a live target with its next report.
func (p *publisher) report(name string) {
	v := p.alive[name]
	v.Sequence++
	p.alive[name] = v
	p.write(roster.Change{Name: name, VM: &v})
}

// removeDead removes the entries of targets that no longer report.
func (p *publisher) removeDead() {
	for _, name := range slices.Sorted(maps.Keys(p.entries)) {
		if _, alive := p.alive[name]; !alive {
			p.write(roster.Change{Name: name})
		}
	}
}

// restore brings back the copy from before the last lost changes.
func (p *publisher) restore(lost int) {
	from := max(0, len(p.copies)-lost)
	if from == len(p.copies) {
		return
	}
	p.entries = maps.Clone(p.copies[from])
	p.at = history.Position{Epoch: p.at.Epoch + 1, Revision: p.revision[from]}
	p.copies, p.revision, p.events = p.copies[:from], p.revision[:from], nil
	for name, c := range p.entries {
		c.Epoch = p.at.Epoch
		p.entries[name] = c
	}
}

func (p *publisher) list() roster.Delta {
	d := roster.Delta{Epoch: p.at.Epoch, Revision: p.at.Revision, Full: true}
	for _, name := range slices.Sorted(maps.Keys(p.entries)) {
		d.Changes = append(d.Changes, p.entries[name])
	}
	return d
}

// watch returns the changes after the position, and false if the publisher no longer has them.
func (p *publisher) watch(after history.Position) (roster.Delta, bool) {
	d := roster.Delta{
		Epoch: p.at.Epoch, Revision: p.at.Revision, BaseEpoch: after.Epoch, BaseRevision: after.Revision, Changes: []roster.Change{},
	}
	if after.Epoch != p.at.Epoch || len(p.events) == 0 || after.Revision < p.events[0].Revision-1 {
		return d, after == p.at
	}
	for _, e := range p.events {
		if e.Revision > after.Revision {
			d.Changes = append(d.Changes, e)
		}
	}
	return d, true
}

// Guards against nodes that disagree for good after restores of the publisher, and against a leaving target that becomes live
// again on a node that has seen it leave, with any order of changes, restores, reads and messages between nodes, delayed
// ones too.
func TestNodesAgreeAfterRestoresAndTakeNoLeavingBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := &publisher{at: history.Position{Epoch: 1}, entries: map[string]roster.Change{}, alive: map[string]vm.VM{}}
		nodes := []*roster.Roster{roster.New(), roster.New(), roster.New()}
		left := make([]map[string]bool, len(nodes))
		for i := range left {
			left[i] = map[string]bool{}
		}
		var sent []roster.Delta
		now, targets := clock.Millis(60_000), 0
		// expireAt is the time at which the entries of targets expire that have left before the last restore.
		expireAt := now
		someTarget := func() string {
			return rapid.SampledFrom(slices.Sorted(maps.Keys(p.alive))).Draw(t, "target")
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += clock.Millis(rapid.IntRange(0, 700).Draw(t, "ms"))
			if now >= expireAt {
				p.removeDead()
			}
			i := rapid.IntRange(0, len(nodes)-1).Draw(t, "node")
			step := rapid.SampledFrom([]string{
				"join", "report", "leave", "remove", "restore", "read", "read", "watch", "watch", "sync", "sync", "late",
			}).Draw(t, "step")
			switch {
			case step == "join" || len(p.alive) == 0:
				targets++
				name := fmt.Sprintf("t%d", targets)
				p.alive[name] = vm.VM{Name: name, State: vm.Live, StartedMs: int64(now)}
				p.report(name)
			case step == "report":
				p.report(someTarget())
			case step == "leave":
				name := someTarget()
				v := p.alive[name]
				v.State = vm.Leaving
				p.alive[name] = v
				p.report(name)
			case step == "remove":
				name := someTarget()
				delete(p.alive, name)
				p.write(roster.Change{Name: name})
			case step == "restore":
				p.restore(rapid.IntRange(1, 8).Draw(t, "lost"))
				expireAt = now + entryLifeMs
			case step == "read":
				nodes[i].Apply(p.list(), now)
			case step == "watch":
				if d, ok := p.watch(nodes[i].Position()); ok {
					nodes[i].Apply(d, now)
				}
			case step == "sync":
				j := rapid.IntRange(0, len(nodes)-1).Draw(t, "peer")
				d := nodes[j].DeltaSince(nodes[i].Position())
				sent = append(sent, d)
				nodes[i].Apply(d, now)
			case step == "late" && len(sent) > 0:
				nodes[i].Apply(rapid.SampledFrom(sent).Draw(t, "message"), now)
			}
			nodes[i].RemoveExpired(now)
			for _, v := range nodes[i].VMs() {
				if v.State == vm.Leaving {
					left[i][v.Name] = true
				}
				if v.State == vm.Live && left[i][v.Name] {
					t.Fatalf("%s: target %s is live again on node %d after it was leaving", step, v.Name, i)
				}
			}
		}
		for _, name := range slices.Sorted(maps.Keys(p.alive)) {
			p.report(name)
		}
		p.removeDead()
		nodes[0].Apply(p.list(), now)
		for _, r := range nodes {
			r.Apply(nodes[0].DeltaSince(r.Position()), now)
			r.RemoveExpired(now + 60_000)
		}
		want := ""
		for _, name := range slices.Sorted(maps.Keys(p.alive)) {
			want += name + ":" + string(p.alive[name].State) + " "
		}
		for i, r := range nodes {
			if got := names(r); got != want {
				t.Fatalf("node %d has %q, the publisher %q", i, got, want)
			}
		}
	})
}
