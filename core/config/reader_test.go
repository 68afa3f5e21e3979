package config_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
)

func newReader(node, domain string, seed uint64) *config.Scheduler {
	return config.NewScheduler(config.SchedulerSettings{Node: node, FailureDomain: domain, PeerAddress: "self:1",
		BootstrapPeers: []string{"self:1", "b:1", "c:1"}, WatchWaitMs: 10000, StartupTimeoutMs: 5000},
		rand.New(rand.NewPCG(seed, 1)), 0)
}

// runScheduler asks for actions every 100 ms until end and answers them; it returns the actions by kind.
func runScheduler(
	r *config.Scheduler, from, end clock.Millis, answer func(config.Call) config.CallResult,
) map[config.CallKind][]config.Call {
	got := make(map[config.CallKind][]config.Call)
	for now := from; now <= end; now += 100 {
		for _, a := range r.Next(now) {
			got[a.Kind] = append(got[a.Kind], a)
			r.Done(a.ID, answer(a), now)
		}
	}
	return got
}

func noAnswer(config.Call) config.CallResult { return config.CallResult{} }

func completeAnswer(config.Call) config.CallResult {
	return config.CallResult{Answered: true, Complete: true}
}

// newReadyScheduler returns a reader of the fleet's VM that has started.
func newReadyScheduler(t *testing.T, snapshot *fleet.Snapshot, node string, seed uint64) *config.Scheduler {
	r := newReader(node, "a", seed)
	r.SetFleet(snapshot, nil, 0)
	runScheduler(r, 0, 30000, completeAnswer)
	assert.Assert(t, r.Ready(true, 30000))
	r.SetFleet(snapshot, nil, 30000)
	return r
}

// Guards against a node serving before it compared its versions, and against it never serving.
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
			r := newReader("a0", "a", 1)
			r.SetFleet(fleetOf(4, "a", "b", "c"), nil, 0)
			answer := func(a config.Call) config.CallResult {
				ok := a.Kind == config.SyncPeer && c.peers || a.Kind != config.SyncPeer && c.platform
				assert.Assert(t, a.Peer.Address != "self:1")
				return config.CallResult{Answered: ok, Complete: ok}
			}
			runScheduler(r, 0, 4900, answer)
			assert.Equal(t, r.Ready(c.complete, 4900), c.early)
			runScheduler(r, 5000, 5100, answer)
			assert.Equal(t, r.Ready(c.complete, 5100), c.late)
		})
	}
}

// Guards against an unlisted fleet size making each starting node read all sections at once.
func TestStartupReadsVMListFirst(t *testing.T) {
	got := runScheduler(newReader("a0", "a", 1), 0, 4900, noAnswer)
	for _, a := range got[config.ReadPlatform] {
		assert.Equal(t, a.Section, fleet.VMs)
	}
	assert.Equal(t, len(got[config.ReadPlatform]), 1)
	assert.Assert(t, len(got[config.SyncPeer]) > 2)
}

// Guards against nodes that are no watchers loading the platform, and against one stale peer keeping a node back.
func TestOnlyWatchersWatchThePlatform(t *testing.T) {
	snapshot := fleetOf(6, "a", "b", "c")
	for _, v := range snapshot.VMsOfDomain("a") {
		r := newReadyScheduler(t, snapshot, v.Name, 1)
		r.PollNow(30000)
		first := r.Next(30000)
		assert.Assert(t, first[0].WaitMs == 0)
		for _, a := range first {
			r.Done(a.ID, config.CallResult{Answered: true}, 30000)
		}
		next := r.Next(31000)
		peers := make(map[string]bool)
		watches := 0
		for _, a := range next {
			assert.Equal(t, a.WaitMs, clock.Millis(10000))
			peers[a.Peer.Name] = true
			if a.Kind == config.WatchPlatform {
				watches++
			}
		}
		assert.Assert(t, !peers[v.Name])
		if r.Rank() >= 0 {
			assert.Equal(t, watches, 5)
			assert.Equal(t, len(next), 8, "five watches, the other watcher, two domains")
			continue
		}
		assert.Equal(t, watches, 0)
		assert.Equal(t, len(next), 2)
		assert.Equal(t, len(peers), 2, "two different peers")
		for _, w := range config.RankWatchers(snapshot, "a", nil)[:2] {
			assert.Assert(t, peers[w.Name])
		}
	}
}

// Guards against a node that loses its peers asking only dead ones, and against all nodes together
// exceeding the platform's rate when no peer answers.
func TestUnresponsivePeersDoNotOverloadThePlatform(t *testing.T) {
	const perDomain, from, window = 800, 31000, 120_000
	snapshot := fleetOf(perDomain, "a", "b", "c")
	ranking := config.RankWatchers(snapshot, "a", nil)
	const sample = 20
	total, peak := 0, make(map[clock.Millis]int)
	for i := range sample {
		r := newReadyScheduler(t, snapshot, ranking[i+10].Name, uint64(i))
		asked := make(map[string]bool)
		for now := clock.Millis(from); now < from+window; now += 100 {
			for _, a := range r.Next(now) {
				asked[a.Peer.Name] = true
				r.Done(a.ID, config.CallResult{}, now)
				if a.Kind == config.ReadPlatform {
					total++
					peak[now/10000]++
				}
			}
		}
		assert.Assert(t, len(asked) > 6, "asked %d peers", len(asked))
	}
	fleetSize := float64(len(snapshot.VMs.VMs))
	perSecond := float64(total) / sample * fleetSize / (window / 1000)
	assert.Assert(t, total > 0)
	assert.Assert(t, perSecond < config.MaxPlatformReadsPerSecond, "%.0f reads/s", perSecond)
	for second, n := range peak {
		assert.Assert(t, float64(n)/sample*fleetSize/10 < 1.5*config.MaxPlatformReadsPerSecond, "around %d s", second*10)
	}
	t.Logf("%.0f reads/s by %.0f nodes", perSecond, fleetSize)
}

// Guards against both calls of a node going to the same peer after the other one failed.
func TestFailedPeerIsReplacedByUnusedPeer(t *testing.T) {
	snapshot := fleetOf(6, "a")
	ranking := config.RankWatchers(snapshot, "a", nil)
	r := newReadyScheduler(t, snapshot, ranking[3].Name, 1)
	for _, a := range r.Next(40000) {
		if a.Peer.Name == ranking[0].Name {
			r.Done(a.ID, config.CallResult{}, 40000)
		}
	}
	retried := r.Next(40300)
	assert.Equal(t, len(retried), 1)
	assert.Equal(t, retried[0].Peer.Name, ranking[2].Name)
	assert.Equal(t, len(r.ActivePeers()), 2)
}

// Guards against a lost reply stopping a lane, and against a node never returning to its preferred peer.
func TestLostReplyTimesOutAndPreferredPeerReturns(t *testing.T) {
	snapshot := fleetOf(6, "a")
	ranking := config.RankWatchers(snapshot, "a", nil)
	r := newReadyScheduler(t, snapshot, ranking[3].Name, 1)
	lost := make(map[string]bool)
	for _, a := range r.Next(40000) {
		lost[a.Peer.Name] = true
	}
	assert.Assert(t, lost[ranking[0].Name] && lost[ranking[1].Name])
	assert.Equal(t, len(r.Next(52000)), 0)
	assert.Equal(t, len(r.Next(53000)), 0, "given up, retried after a delay")
	retried := r.Next(53300)
	assert.Equal(t, len(retried), 2)
	for _, a := range retried {
		assert.Assert(t, a.Peer.Name != ranking[0].Name, "its reply was lost")
		r.Done(a.ID, config.CallResult{Answered: true}, 53300)
	}
	back := runScheduler(r, 53400, 84000, completeAnswer)[config.SyncPeer]
	assert.Equal(t, len(r.ActivePeers()), 0)
	names := map[string]bool{back[len(back)-1].Peer.Name: true, back[len(back)-2].Peer.Name: true}
	assert.Assert(t, names[ranking[0].Name] && names[ranking[1].Name])
}
