package config_test

import (
	"encoding/json"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

var platformSource = config.Source{Name: config.Platform}

// Guards against older, invalid and conflicting values replacing the value in force.
func TestApplyKeepsLastValidValue(t *testing.T) {
	s := config.New()
	steps := []struct {
		version  int64
		value    string
		want     config.ApplyOutcome
		repeated bool
		inForce  int64
		after    int64
	}{
		{3, string(accountsValue(2, 1)), config.Applied, false, 3, 3},
		{2, string(accountsValue(2, 2)), config.Outdated, false, 3, 3},
		{3, " " + string(accountsValue(2, 1)), config.Confirmed, false, 3, 3},
		{3, string(accountsValue(2, 2)), config.Conflict, false, 3, 3},
		{3, string(accountsValue(2, 2)), config.Conflict, true, 3, 3},
		{5, `{"accounts":1}`, config.Rejected, false, 3, 5},
		{5, `{"accounts":1}`, config.Rejected, true, 3, 5},
		{5, `{"accounts"`, config.Rejected, false, 3, 5},
		{4, string(accountsValue(2, 4)), config.Applied, false, 4, 5},
		{6, string(accountsValue(2, 6)), config.Applied, false, 6, 6},
		{0, string(accountsValue(2, 6)), config.Outdated, false, 6, 6},
	}
	for i, step := range steps {
		got := s.Apply(fleet.Accounts, step.version, json.RawMessage(step.value), platformSource, clock.Millis(i))
		assert.Equal(t, got.Outcome, step.want, "step %d: %v", i, got.Err)
		assert.Equal(t, got.Repeated, step.repeated, "step %d", i)
		assert.Equal(t, s.Versions(0)[1].Version, step.inForce, "step %d", i)
		assert.Equal(t, s.Snapshot().Versions[fleet.Accounts], step.inForce, "step %d", i)
		assert.Equal(t, s.WatchVersion(fleet.Accounts), step.after, "step %d", i)
	}
	assert.Equal(t, s.Apply("other", 1, json.RawMessage(`{}`), platformSource, 0).Outcome, config.Rejected)
}

// Guards against nodes that lost the platform together confirming their versions to each other with a recent age.
func TestAgeIsMeasuredFromPlatformConfirmation(t *testing.T) {
	a, b := config.New(), config.New()
	a.Apply(fleet.Accounts, 1, accountsValue(1, 1), platformSource, 1000)
	updates := a.UpdatesFor(b.Versions(5000))
	b.ApplyUpdates(updates, config.Source{Name: "a", AgeMs: a.Versions(5000)[1].AgeMs}, 5000)
	assert.Equal(t, b.Status(6000)[1].AgeMs, clock.Millis(5000))
	a.ConfirmPeer("b", b.Versions(8000), 8000)
	assert.Equal(t, a.Status(8000)[1].AgeMs, clock.Millis(7000))
	a.ConfirmPlatform(fleet.Accounts, 1, 9000)
	b.ConfirmPeer("a", a.Versions(9500), 9500)
	assert.Equal(t, b.Status(9500)[1].AgeMs, clock.Millis(500))
	assert.Equal(t, b.Status(9500)[1].ConfirmedBy, "a")
	assert.Equal(t, b.Status(9500)[0].AgeMs, clock.Millis(-1))
}

// Guards against full sections being sent for small changes, and against a diff being applied to a wrong base.
func TestUpdatesAreDiffsIfBaseIsKnown(t *testing.T) {
	a, b := config.New(), config.New()
	for v := int64(1); v <= 100; v++ {
		a.Apply(fleet.Accounts, v, accountsValue(200, float64(v)), platformSource, 0)
	}
	full := a.UpdatesFor([]config.SectionVersion{{Name: fleet.Accounts, Version: 2}})
	assert.Equal(t, len(full), 1)
	assert.Equal(t, full[0].BaseVersion, int64(0))
	b.Apply(fleet.Accounts, 90, accountsValue(200, 90), platformSource, 0)
	chain := a.UpdatesFor(b.RequestVersions(0))
	assert.Equal(t, len(chain), 10)
	assert.Equal(t, b.ApplyUpdates(chain, platformSource, 0)[0].Outcome, config.Applied)
	assert.DeepEqual(t, a.Snapshot().Accounts, b.Snapshot().Accounts)
	assert.DeepEqual(t, b.UpdatesFor([]config.SectionVersion{{Name: fleet.Accounts, Version: 95}}), chain[5:])

	c := config.New()
	c.Apply(fleet.Accounts, 98, accountsValue(200, 98), platformSource, 0)
	assert.Equal(t, c.ApplyUpdates(chain[9:], platformSource, 0)[0].Outcome, config.UnknownBase)
	c.Apply(fleet.Accounts, 99, accountsValue(200, 1), platformSource, 0)
	assert.Equal(t, c.ApplyUpdates(chain[9:], platformSource, 0)[0].Outcome, config.ChecksumMismatch)
	assert.Equal(t, c.RequestVersions(0)[1].Version, int64(0))
	assert.Equal(t, c.ApplyUpdates(a.UpdatesFor(c.RequestVersions(0)), platformSource, 0)[0].Outcome, config.Applied)
	assert.Equal(t, c.RequestVersions(0)[1].Version, int64(100))

	d := config.New()
	d.Apply(fleet.Accounts, 99, accountsValue(200, 1), platformSource, 0)
	assert.Equal(t, d.ApplyUpdates(chain[9:], platformSource, 0)[0].Outcome, config.ChecksumMismatch)
	d.Apply(fleet.Accounts, 100, accountsValue(200, 100), platformSource, 0)
	assert.Equal(t, d.RequestVersions(0)[1].Version, int64(100), "the platform served the full section")
}

// syncReply is the reply of a peer that is not delivered yet.
type syncReply struct {
	to      int
	updates []config.Update
}

// Guards against a version that decreases without a restart, and against connected stores that do not converge. The
// causes are a stale platform replica, invalid values, restarts, lost, repeated and reordered messages, and operators
// who publish the same version with different values.
func TestVersionsNeverDecreaseAndConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const n = 4
		stores, highest := make([]*config.Store, n), make([]int64, n)
		for i := range stores {
			stores[i] = config.New()
			stores[i].Apply(fleet.Accounts, 1, accountsValue(20, 1), platformSource, 0)
		}
		type publication struct {
			version int64
			value   []byte
		}
		published := []publication{{1, accountsValue(20, 1)}}
		var inFlight []syncReply
		node := rapid.IntRange(0, n-1)
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				version := int64(len(published) + 1 - rapid.IntRange(0, 1).Draw(t, "race"))
				value := accountsValue(20, float64(rapid.IntRange(1, 9).Draw(t, "rate")))
				if rapid.IntRange(0, 4).Draw(t, "bad") == 0 {
					value = fmt.Appendf(nil, `{"accounts":%d}`, version)
				}
				published = append(published, publication{version, value})
			},
			"read platform": func(t *rapid.T) {
				lag := rapid.IntRange(0, min(3, len(published)-1)).Draw(t, "lag")
				p := published[len(published)-1-lag]
				stores[node.Draw(t, "node")].Apply(fleet.Accounts, p.version, p.value, platformSource, 0)
			},
			"reply": func(t *rapid.T) {
				from, to := node.Draw(t, "from"), node.Draw(t, "to")
				inFlight = append(inFlight, syncReply{to, stores[from].UpdatesFor(stores[to].RequestVersions(0))})
			},
			"deliver": func(t *rapid.T) {
				if len(inFlight) > 0 {
					reply := rapid.SampledFrom(inFlight).Draw(t, "message")
					stores[reply.to].ApplyUpdates(reply.updates, platformSource, 0)
				}
			},
			"restart": func(t *rapid.T) {
				i := node.Draw(t, "node")
				stores[i], highest[i] = config.New(), 0
			},
			"": func(t *rapid.T) {
				for i, s := range stores {
					v := s.Snapshot().Versions[fleet.Accounts]
					if v < highest[i] {
						t.Fatalf("store %d went back from version %d to %d", i, highest[i], v)
					}
					highest[i] = v
				}
			},
		})
		for range 2 * n {
			for i, s := range stores {
				next := stores[(i+1)%n]
				next.ApplyUpdates(s.UpdatesFor(next.RequestVersions(0)), platformSource, 0)
			}
		}
		maxVersion := int64(0)
		for i := range highest {
			maxVersion = max(maxVersion, highest[i])
		}
		for i, s := range stores {
			if v := s.Snapshot().Versions[fleet.Accounts]; v != maxVersion {
				t.Fatalf("store %d has version %d, the highest is %d", i, v, maxVersion)
			}
		}
	})
}
