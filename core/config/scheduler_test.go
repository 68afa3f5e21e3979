package config_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

func newScheduler(node, domain string, seed uint64) *config.Scheduler {
	return config.NewScheduler(config.SchedulerSettings{Node: node, FailureDomain: domain, PeerAddress: "self:1",
		BootstrapPeers: []string{"self:1", "b:1", "c:1"}, WatchWaitMs: 10000, StartupTimeoutMs: 5000},
		rand.New(rand.NewPCG(seed, 1)), 0)
}

// runScheduler asks for calls every 100 ms until end and reports their results; it returns the calls by kind.
func runScheduler(
	s *config.Scheduler, from, end clock.Millis, answer func(config.Call) config.CallResult,
) map[config.CallKind][]config.Call {
	calls := make(map[config.CallKind][]config.Call)
	for now := from; now <= end; now += 100 {
		for _, call := range s.Next(now) {
			calls[call.Kind] = append(calls[call.Kind], call)
			s.Done(call.ID, answer(call), now)
		}
	}
	return calls
}

func noAnswer(config.Call) config.CallResult { return config.CallResult{} }

func completeAnswer(config.Call) config.CallResult {
	return config.CallResult{Answered: true, Complete: true}
}

// newReadyScheduler returns the scheduler of a node of domain "a" after its start.
func newReadyScheduler(t *testing.T, snapshot *fleet.Snapshot, node string, seed uint64) *config.Scheduler {
	s := newScheduler(node, "a", seed)
	s.SetFleet(snapshot, nil, 0)
	runScheduler(s, 0, 30000, completeAnswer)
	assert.Assert(t, s.Ready(true, 30000))
	s.SetFleet(snapshot, nil, 30000)
	return s
}

// Guards against a node that serves before it has compared its versions with enough sources, and against a node that
// never serves because a source is down.
func TestReadyRequiresSeveralSources(t *testing.T) {
	cases := []struct {
		name            string
		peers, platform bool
		complete        bool
		early, late     bool
	}{
		{"all answer", true, true, true, true, true},
		{"no platform", true, false, true, false, true},
		{"no peers", false, true, true, false, true},
		{"nobody", false, false, true, false, false},
		{"incomplete", true, true, false, false, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := newScheduler("a0", "a", 1)
			s.SetFleet(fleetOf(4, "a", "b", "c"), nil, 0)
			answer := func(call config.Call) config.CallResult {
				answers := call.Kind == config.SyncPeer && c.peers || call.Kind != config.SyncPeer && c.platform
				assert.Assert(t, call.Peer.Address != "self:1")
				return config.CallResult{Answered: answers, Complete: answers}
			}
			runScheduler(s, 0, 4900, answer)
			assert.Equal(t, s.Ready(c.complete, 4900), c.early)
			runScheduler(s, 5000, 5100, answer)
			assert.Equal(t, s.Ready(c.complete, 5100), c.late)
		})
	}
}

// Guards against starting nodes that all read every section at once, because they do not know the size of the fleet.
func TestStartupReadsVMListFirst(t *testing.T) {
	calls := runScheduler(newScheduler("a0", "a", 1), 0, 4900, noAnswer)
	for _, call := range calls[config.ReadPlatform] {
		assert.Equal(t, call.Section, fleet.VMs)
	}
	assert.Equal(t, len(calls[config.ReadPlatform]), 1)
	assert.Assert(t, len(calls[config.SyncPeer]) > 2)
}

// Guards against nodes other than the watchers calling the platform, and against a node that depends on a single, maybe
// stale peer.
func TestOnlyWatchersWatchThePlatform(t *testing.T) {
	snapshot := fleetOf(6, "a", "b", "c")
	for _, v := range snapshot.VMsOfDomain("a") {
		s := newReadyScheduler(t, snapshot, v.Name, 1)
		s.PollNow(30000)
		first := s.Next(30000)
		assert.Assert(t, first[0].WaitMs == 0)
		for _, call := range first {
			s.Done(call.ID, config.CallResult{Answered: true}, 30000)
		}
		next := s.Next(31000)
		peers := make(map[string]bool)
		watches := 0
		for _, call := range next {
			assert.Equal(t, call.WaitMs, clock.Millis(10000))
			peers[call.Peer.Name] = true
			if call.Kind == config.WatchPlatform {
				watches++
			}
		}
		assert.Assert(t, !peers[v.Name])
		if s.Rank() >= 0 {
			assert.Equal(t, watches, 5)
			assert.Equal(t, len(next), 8, "five watches, the other watcher, two domains")
			continue
		}
		assert.Equal(t, watches, 0)
		assert.Equal(t, len(next), 2)
		assert.Equal(t, len(peers), 2, "two different peers")
		for _, watcher := range config.RankWatchers(snapshot, "a", nil)[:2] {
			assert.Assert(t, peers[watcher.Name])
		}
	}
}

// Guards against a node that retries only dead peers, and against all nodes together exceeding the platform's rate when
// no peer answers.
func TestUnresponsivePeersDoNotOverloadThePlatform(t *testing.T) {
	const perDomain, from, window = 800, 31000, 120_000
	snapshot := fleetOf(perDomain, "a", "b", "c")
	ranking := config.RankWatchers(snapshot, "a", nil)
	const sampledNodes = 20
	total, readsPer10s := 0, make(map[clock.Millis]int)
	for i := range sampledNodes {
		s := newReadyScheduler(t, snapshot, ranking[i+10].Name, uint64(i))
		called := make(map[string]bool)
		for now := clock.Millis(from); now < from+window; now += 100 {
			for _, call := range s.Next(now) {
				called[call.Peer.Name] = true
				s.Done(call.ID, config.CallResult{}, now)
				if call.Kind == config.ReadPlatform {
					total++
					readsPer10s[now/10000]++
				}
			}
		}
		assert.Assert(t, len(called) > 6, "called %d peers", len(called))
	}
	fleetSize := float64(len(snapshot.VMs.VMs))
	perSecond := float64(total) / sampledNodes * fleetSize / (window / 1000)
	assert.Assert(t, total > 0)
	assert.Assert(t, perSecond < config.MaxPlatformReadsPerSecond, "%.0f reads/s", perSecond)
	for slot, n := range readsPer10s {
		assert.Assert(t, float64(n)/sampledNodes*fleetSize/10 < 1.5*config.MaxPlatformReadsPerSecond, "around %d s", slot*10)
	}
	t.Logf("%.0f reads/s by %.0f nodes", perSecond, fleetSize)
}

// Guards against both pollers of a node calling the same peer after the other peer failed.
func TestFailedPeerIsReplacedByUnusedPeer(t *testing.T) {
	snapshot := fleetOf(6, "a")
	ranking := config.RankWatchers(snapshot, "a", nil)
	s := newReadyScheduler(t, snapshot, ranking[3].Name, 1)
	for _, call := range s.Next(40000) {
		if call.Peer.Name == ranking[0].Name {
			s.Done(call.ID, config.CallResult{}, 40000)
		}
	}
	retried := s.Next(40300)
	assert.Equal(t, len(retried), 1)
	assert.Equal(t, retried[0].Peer.Name, ranking[2].Name)
	assert.Equal(t, len(s.ActivePeers()), 2)
}

// Guards against a lost reply that stops a poller for good, and against a node that never returns to its preferred peers.
func TestLostReplyTimesOutAndPreferredPeerReturns(t *testing.T) {
	snapshot := fleetOf(6, "a")
	ranking := config.RankWatchers(snapshot, "a", nil)
	s := newReadyScheduler(t, snapshot, ranking[3].Name, 1)
	lost := make(map[string]bool)
	for _, call := range s.Next(40000) {
		lost[call.Peer.Name] = true
	}
	assert.Assert(t, lost[ranking[0].Name] && lost[ranking[1].Name])
	assert.Equal(t, len(s.Next(52000)), 0)
	assert.Equal(t, len(s.Next(53000)), 0, "timed out, but the retry is not due yet")
	retried := s.Next(53300)
	assert.Equal(t, len(retried), 2)
	for _, call := range retried {
		assert.Assert(t, call.Peer.Name != ranking[0].Name, "its last reply was lost")
		s.Done(call.ID, config.CallResult{Answered: true}, 53300)
	}
	later := runScheduler(s, 53400, 84000, completeAnswer)[config.SyncPeer]
	assert.Equal(t, len(s.ActivePeers()), 0)
	names := map[string]bool{later[len(later)-1].Peer.Name: true, later[len(later)-2].Peer.Name: true}
	assert.Assert(t, names[ranking[0].Name] && names[ranking[1].Name])
}
