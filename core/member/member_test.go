package member_test

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/member"
	"coltsfootusher.example/core/vm"
)

// Guards against sending new work to a leaving node that an outdated VM list shows as live, and against sending none to a
// restarted node.
func TestLeavingNodeGetsNoNewWork(t *testing.T) {
	live, leaving := member.Notice{Node: "a", Incarnation: 8}, member.Notice{Node: "a", Incarnation: 7, Leaving: true}
	cases := []struct {
		name    string
		state   vm.State
		contact []member.Notice
		notices []member.Notice
		now     clock.Millis
		want    member.Reason
	}{
		{"unknown", vm.Live, nil, nil, 0, member.None},
		{"published", vm.Leaving, []member.Notice{live}, nil, 0, member.PublishedLeaving},
		{"noticed", vm.Live, nil, []member.Notice{leaving}, 0, member.NoticedLeaving},
		{"told directly", vm.Live, []member.Notice{leaving}, nil, 0, member.NoticedLeaving},
		{"never taken back", vm.Live, []member.Notice{leaving, {Node: "a", Incarnation: 7}}, nil, 0, member.NoticedLeaving},
		{"restarted", vm.Live, []member.Notice{leaving, live}, nil, 0, member.None},
		{"late notice about the old incarnation", vm.Live, []member.Notice{live}, []member.Notice{leaving}, 0, member.None},
		{"no recent contact", vm.Live, []member.Notice{live}, []member.Notice{leaving}, 30_001, member.NoticedLeaving},
		{"restart noticed after contact", vm.Live, []member.Notice{leaving}, []member.Notice{live}, 0, member.None},
		{"restart noticed", vm.Live, nil, []member.Notice{live, leaving}, 0, member.None},
		{"expired", vm.Live, nil, []member.Notice{leaving}, 600_001, member.None},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			table := member.New(10)
			for _, n := range c.contact {
				table.RecordContact(n, 0, 0)
			}
			table.MergeNotices(c.notices, 0)
			assert.Equal(t, table.ExclusionReason(vm.VM{Name: "a", State: c.state}, c.now), c.want)
		})
	}
}

// Guards against a delayed reply from before a restart making the old incarnation current again.
func TestDelayedContactKeepsNewerIncarnation(t *testing.T) {
	table := member.New(10)
	table.RecordFailure("a")
	table.RecordContact(member.Notice{Node: "a", Incarnation: 8}, 200, 210)
	table.RecordContact(member.Notice{Node: "a", Incarnation: 7, Leaving: true}, 100, 220)
	got, ok := table.Peer("a", 220)
	assert.Assert(t, ok)
	assert.DeepEqual(t, got, member.PeerStatus{Node: "a", Incarnation: 8, LastContactMs: 200})
	table.Prune(600_201)
	_, ok = table.Peer("a", 600_201)
	assert.Assert(t, ok, "notices of 7 and 8 are still remembered")
	table.Prune(700_000)
	_, ok = table.Peer("a", 700_000)
	assert.Assert(t, !ok)
}

// Guards against an unbounded queue, repeated notices, and notices that are forwarded forever.
func TestNoticesSinceIsBoundedAndExpires(t *testing.T) {
	table := member.New(3)
	for i := range 5 {
		table.MergeNotices([]member.Notice{{Node: fmt.Sprint(i), Incarnation: 1, Leaving: true}}, 0)
	}
	table.MergeNotices([]member.Notice{{Node: "4", Incarnation: 1, Leaving: true}, {Node: "9", Incarnation: 1}}, 0)
	first, cursor := table.NoticesSince(0, 2, 0)
	assert.DeepEqual(t, first, []member.Notice{
		{Node: "2", Incarnation: 1, Leaving: true}, {Node: "3", Incarnation: 1, Leaving: true}})
	rest, cursor := table.NoticesSince(cursor, 2, 0)
	assert.Equal(t, len(rest), 1)
	none, _ := table.NoticesSince(cursor, 2, 0)
	assert.Equal(t, len(none), 0)
	again, _ := table.NoticesSince(1000, 9, 0)
	assert.Equal(t, len(again), 3, "the cursor of an earlier incarnation")
	table.MergeNotices([]member.Notice{{Node: "4", Incarnation: 2}}, 10)
	newest, _ := table.NoticesSince(cursor, 9, 10)
	assert.DeepEqual(t, newest, []member.Notice{{Node: "4", Incarnation: 2}})
	old, _ := table.NoticesSince(0, 9, 31_000)
	assert.Equal(t, len(old), 0)
}

// Guards against nodes that disagree because they received the same notices in different order or more than once.
func TestMergeIsIdempotentAndCommutative(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		notice := rapid.Custom(func(t *rapid.T) member.Notice {
			return member.Notice{Node: rapid.SampledFrom([]string{"a", "b"}).Draw(t, "node"),
				Incarnation: rapid.Uint64Range(1, 4).Draw(t, "incarnation"), Leaving: rapid.Bool().Draw(t, "leaving")}
		})
		notices := rapid.SliceOf(notice).Draw(t, "notices")
		shuffled := append(rapid.Permutation(notices).Draw(t, "order"), notices...)
		first, second := member.New(8), member.New(8)
		if rapid.Bool().Draw(t, "contacted") {
			contact := notice.Draw(t, "contact")
			first.RecordContact(contact, 0, 0)
			second.RecordContact(contact, 0, 0)
		}
		first.MergeNotices(notices, 0)
		second.MergeNotices(shuffled, 0)
		for _, node := range []string{"a", "b"} {
			for _, now := range []clock.Millis{0, 40_000} {
				if first.IsLeaving(node, now) != second.IsLeaving(node, now) {
					t.Fatalf("node %s at %d: %v and %v", node, now, first.IsLeaving(node, now), second.IsLeaving(node, now))
				}
			}
		}
	})
}
