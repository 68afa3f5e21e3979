package poison_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/poison"
)

const ttlMs = 1000

func newGuard() *poison.Guard {
	return poison.New(poison.Config{TTLMs: ttlMs, DeathReportDelayMs: 10, MaxSuspects: 8})
}

func admit(t *testing.T, g *poison.Guard, fingerprint uint64, runsSuspects bool, now clock.Millis,
	want poison.Decision) poison.Ticket {
	t.Helper()
	decision, ticket := g.Admit(fingerprint, runsSuspects, now)
	assert.Equal(t, decision, want)
	return ticket
}

// A request that crashes targets must be refused, and other requests in flight must not remain suspects once they complete.
func TestCrashingRequestIsRefusedAndOthersAreCleared(t *testing.T) {
	g := newGuard()
	for fingerprint := range uint64(3) {
		admit(t, g, fingerprint, false, 0, poison.Run)
	}
	g.TargetDied(100, 0)
	admit(t, g, 1, false, 1, poison.Redirect)
	ticket := admit(t, g, 1, true, 1, poison.RunAsSuspect)
	admit(t, g, 2, true, 1, poison.Wait)
	admit(t, g, 9, true, 1, poison.Run)
	g.Done(ticket, poison.Completed, 2)
	admit(t, g, 1, false, 2, poison.Run)
	ticket = admit(t, g, 2, true, 2, poison.RunAsSuspect)
	g.TargetDied(101, 3)
	g.Done(ticket, poison.Completed, 3)
	admit(t, g, 2, true, 4, poison.Refuse)
	assert.Equal(t, g.Status(9, 4), poison.Suspect)
	g.Done(admit(t, g, 0, true, 4, poison.RunAsSuspect), poison.Cancelled, 5)
	assert.Equal(t, g.Status(0, 5), poison.Suspect)
	assert.Equal(t, g.Status(2, ttlMs+4), poison.Normal)
}

// A request whose connection broke before the death of its target was reported must still become a suspect.
func TestRequestFailedBeforeDeathReportIsSuspect(t *testing.T) {
	g := newGuard()
	g.Done(admit(t, g, 1, false, 0, poison.Run), poison.Failed, 0)
	g.Done(admit(t, g, 2, false, 0, poison.Run), poison.Failed, 5)
	g.TargetDied(100, 12)
	assert.Equal(t, g.Status(1, 12), poison.Normal)
	g.Done(admit(t, g, 2, true, 13, poison.RunAsSuspect), poison.Failed, 14)
	admit(t, g, 2, true, 15, poison.Wait)
	g.TargetDied(101, 16)
	admit(t, g, 2, true, 17, poison.Refuse)
}

// A common request that was in flight at two targets, both crashed by another request, must not be refused.
func TestSimultaneousCrashesDoNotConfirmSharedRequest(t *testing.T) {
	a, b := newGuard(), newGuard()
	for i, g := range []*poison.Guard{a, b} {
		admit(t, g, 1, false, 0, poison.Run)
		admit(t, g, 2, false, 0, poison.Run)
		g.TargetDied(uint64(100+i), 0)
	}
	notices, _ := b.Notices(0, 10, 1)
	a.Merge(notices, 1)
	a.Done(admit(t, a, 1, true, 1, poison.RunAsSuspect), poison.Completed, 2)
	admit(t, a, 2, true, 2, poison.RunAsSuspect)
	a.TargetDied(102, 3)
	assert.Equal(t, a.Status(1, 3), poison.Normal)
	assert.Equal(t, a.Status(2, 3), poison.Confirmed)
	ticket := admit(t, b, 3, false, 3, poison.Run)
	b.Merge([]poison.Notice{{Fingerprint: 3, Crashes: []poison.Crash{{ID: 7, AtMs: 3, Proof: true}, {ID: 8, AtMs: 3}}}}, 3)
	b.Done(ticket, poison.Completed, 4)
	assert.Equal(t, b.Status(3, 4), poison.Confirmed)
}

// Nodes with the same notices must agree on the suspects, and notices that are already known must not be sent on forever.
func TestMergeIgnoresOrderAndRepetition(t *testing.T) {
	crash := rapid.Custom(func(t *rapid.T) poison.Crash {
		id := rapid.Uint64Range(1, 9).Draw(t, "id")
		return poison.Crash{
			ID: id, AtMs: clock.Millis(id / 2), Proof: rapid.Bool().Draw(t, "proof"), Cleared: rapid.Bool().Draw(t, "cleared"),
		}
	})
	notice := rapid.Custom(func(t *rapid.T) poison.Notice {
		return poison.Notice{
			Fingerprint: rapid.Uint64Range(1, 3).Draw(t, "fingerprint"), Crashes: rapid.SliceOfN(crash, 1, 3).Draw(t, "crashes"),
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		notices := rapid.SliceOf(notice).Draw(t, "notices")
		a, b := newGuard(), newGuard()
		a.Merge(notices, 10)
		b.Merge(rapid.Permutation(append(slices.Clone(notices), notices...)).Draw(t, "permuted"), 10)
		known, revision := a.Notices(0, 10, 10)
		other, _ := b.Notices(0, 10, 10)
		byFingerprint := func(x, y poison.Notice) int { return int(x.Fingerprint) - int(y.Fingerprint) }
		slices.SortFunc(known, byFingerprint)
		slices.SortFunc(other, byFingerprint)
		assert.DeepEqual(t, known, other)
		a.Merge(other, 10)
		repeated, _ := a.Notices(revision, 10, 10)
		assert.Equal(t, len(repeated), 0)
	})
}

// Memory and messages must be limited, and notices that don't fit into one message must follow in the next.
func TestSuspectsAndNoticesAreCapped(t *testing.T) {
	g := newGuard()
	for i := range uint64(20) {
		g.Merge([]poison.Notice{{Fingerprint: i, Crashes: []poison.Crash{{ID: 1, AtMs: clock.Millis(i)}}}}, 20)
	}
	assert.Equal(t, g.Len(), 8)
	first, revision := g.Notices(0, 5, 20)
	second, _ := g.Notices(revision, 5, 20)
	assert.Equal(t, len(first), 5)
	assert.Equal(t, len(second), 3)
	assert.Equal(t, first[0].Fingerprint, uint64(12))
	assert.Equal(t, g.Status(19, 20), poison.Suspect)
	none, _ := g.Notices(0, 5, 20+ttlMs)
	assert.Equal(t, len(none)+g.Len(), 0)
}

// Different requests must have different fingerprints, and suspects must have another target when the suspect target is gone.
func TestFingerprintsDifferAndSuspectTargetFailsOver(t *testing.T) {
	base := poison.Fingerprint("a", "/r", "GET", "/r/1", poison.HashBody(nil))
	assert.Assert(t, base != poison.Fingerprint("a", "/r", "GET", "/r/2", poison.HashBody(nil)))
	assert.Assert(t, base != poison.Fingerprint("a/r", "", "GET", "/r/1", poison.HashBody(nil)))
	assert.Assert(t, base != poison.Fingerprint("a", "/r", "GET", "/r/1", poison.HashBody([]byte("x"))))
	targets := []string{"a", "b", "c"}
	chosen := poison.SuspectTarget("riders", targets)
	rest := slices.DeleteFunc(slices.Clone(targets), func(target string) bool { return target == chosen })
	next := poison.SuspectTarget("riders", rest)
	assert.Assert(t, slices.Contains(rest, next))
	assert.Equal(t, poison.SuspectTarget("riders", []string{rest[1], chosen, rest[0]}), chosen)
	assert.Equal(t, poison.SuspectTarget("riders", nil), "")
}
