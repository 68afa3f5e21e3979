package capacity

import (
	"fmt"
	"math/rand/v2"

	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/member"
)

const seed = 1

// members measures the table of peers of one node that knows all others.
func (r *run) members() error {
	for _, size := range r.sizes(targetCount/5, targetCount/2, targetCount) {
		fill := func() *member.Table {
			t := member.New(size)
			for i := range size {
				t.RecordContact(member.Notice{Node: fmt.Sprintf("vm-%d", i), Incarnation: uint64(i + 1)}, 1, 1)
			}
			return t
		}
		table := fill()
		next := 0
		r.record("member", size, "tableBytes", retainedBytes(func() any { return fill() }))
		r.record("member", size, "contactCpuMicros", r.cpuMicros(func() {
			next++
			i := next % size
			table.RecordContact(member.Notice{Node: fmt.Sprintf("vm-%d", i), Incarnation: uint64(i + 1)},
				clock.Millis(next), clock.Millis(next))
		}))
		r.record("member", size, "sinceCpuMicros", r.cpuMicros(func() { table.NoticesSince(int64(size), size, clock.Millis(next)) }))
	}
	r.slope("member", "tableBytes", "Peer")
	return nil
}

// balancers measures a choice among the targets of one service. 2,500 targets in 160 services are 16 for each.
func (r *run) balancers() error {
	for _, size := range r.sizes(16, 160, targetCount) {
		candidates := make([]balance.Candidate, size)
		for i := range candidates {
			candidates[i] = balance.Candidate{Node: fmt.Sprintf("vm-%d", i), FailureDomain: domainName(i), Slots: 100}
			if candidates[i].FailureDomain != domainName(0) {
				candidates[i].NetworkDelayMs = 1
			}
		}
		build := func() *balance.Balancer {
			b := balance.New(balance.DefaultConfig(domainName(0)), rand.New(rand.NewPCG(seed, seed)))
			for _, c := range candidates {
				b.Started(c.Node, 0)
				b.Finished(c.Node, balance.CallResult{LatencyMs: 5, Load: &call.Load{Running: 10, Limit: 100}}, 0)
			}
			return b
		}
		b := build()
		now := clock.Millis(0)
		load := &call.Load{Running: 10, Limit: 100}
		r.record("balance", size, "choiceCpuMicros", r.cpuMicros(func() {
			now++
			choice, _ := b.Choose(candidates, nil, now)
			b.Started(choice.Node, now)
			b.Finished(choice.Node, balance.CallResult{LatencyMs: 5, Load: load}, now)
		}))
		r.record("balance", size, "tableBytes", retainedBytes(func() any { return build() }))
	}
	r.slope("balance", "choiceCpuMicros", "Candidate")
	r.slope("balance", "tableBytes", "Candidate")
	return nil
}

// readers measures the schedules of all nodes of a fleet in one process: calls and time until a change is everywhere.
func (r *run) readers() error {
	for _, size := range r.sizes(targetCount/5, targetCount/2, targetCount) {
		snapshot, err := snapshotOf(1, size)
		if err != nil {
			return err
		}
		r.record("reader", size, "rankCpuMicros", r.cpuMicros(func() { newReader(snapshot, 0) }))
		r.record("reader", size, "readerBytes", retainedBytes(func() any { return readersOf(snapshot, size) })/float64(size))
		s := newSimulation(snapshot)
		if err := s.await(s.ready, "all nodes are ready"); err != nil {
			return err
		}
		s.measure(steadyMs)
		nodeSeconds := float64(size) * float64(steadyMs) / 1000
		r.record("reader", size, "platformCallsPerSecond", float64(s.platformCalls)*1000/float64(steadyMs))
		r.record("reader", size, "peerCallsPerSecondPerNode", float64(s.peerCalls)/nodeSeconds)
		r.record("reader", size, "mostPeerCallsPerSecondAtOneNode", float64(s.mostReceived())*1000/float64(steadyMs))
		r.record("reader", size, "nextCpuMicros", r.cpuMicros(func() { s.nodes[0].reader.Next(s.now) }))
		published := s.publish()
		if err := s.await(s.inForce, "the change is in force everywhere"); err != nil {
			return err
		}
		r.record("reader", size, "changeEverywhereMs", float64(s.now-published))
		r.record("reader", size, "changeHops", float64(s.mostHops()))
	}
	r.slope("reader", "platformCallsPerSecond", "Node")
	r.slope("reader", "mostPeerCallsPerSecondAtOneNode", "Node")
	r.slope("reader", "rankCpuMicros", "VM")
	return nil
}

// readersOf returns the schedules of the first VMs.
func readersOf(snapshot *fleet.Snapshot, count int) []*config.Scheduler {
	readers := make([]*config.Scheduler, count)
	for i := range readers {
		readers[i] = newReader(snapshot, i)
	}
	return readers
}

func newReader(snapshot *fleet.Snapshot, index int) *config.Scheduler {
	v := snapshot.VMs.VMs[index]
	reader := config.NewScheduler(config.SchedulerSettings{
		Node: v.Name, FailureDomain: v.FailureDomain, PeerAddress: v.PeerAddress, WatchWaitMs: 10_000, StartupTimeoutMs: 5_000,
	}, rand.New(rand.NewPCG(seed, uint64(index))), 0)
	reader.SetFleet(snapshot, nil, 0)
	return reader
}
