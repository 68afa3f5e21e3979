package roster_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/roster"
	"coltsfootusher.example/core/vm"
)

// reported returns the entry of a target that started at 1000, as its report with this number states it.
func reported(name string, epoch, revision, report int64, state vm.State) roster.Change {
	return roster.Change{Name: name, Epoch: epoch, Revision: revision, VM: &vm.VM{
		Name: name, Service: "riders", State: state, StartedMs: 1000, Sequence: report}}
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
