package control

import (
	"context"
	"sync"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/config"
	"coltsfootusher.example/core/member"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/peer/peerpb"
)

// announceesPerDomain is the number of nodes in each failure domain that a leaving node notifies. The two watchers
// forward the notice at once to the nodes whose Sync calls wait at them; the third is notified in case a watcher is gone.
const announceesPerDomain = config.WatchersPerDomain + 1

// Leave records that a peer takes no new work.
func (l *Loop) Leave(ctx context.Context, r *peerpb.LeaveRequest) (*peerpb.LeaveReply, error) {
	if err := checkSender(ctx, r.Node); err != nil {
		return nil, err
	}
	l.post(ctx, func(now clock.Millis) {
		l.recordContact(member.Notice{Node: r.Node, Incarnation: r.Incarnation, Leaving: true}, now, now)
	})
	return &peerpb.LeaveReply{}, nil
}

// AnnounceLeaving tells the peers that this node takes no new work. It returns when all notified peers have answered or
// ctx ends.
func (l *Loop) AnnounceLeaving(ctx context.Context) {
	recipients := make(chan []vm.VM, 1)
	if !l.post(ctx, func(now clock.Millis) {
		l.leaving, l.hasUpdates = true, true
		l.members.MergeNotices([]member.Notice{{Node: l.Node, Incarnation: l.Incarnation, Leaving: true}}, now)
		recipients <- l.announcees()
	}) {
		return
	}
	var group sync.WaitGroup
	select {
	case vms := <-recipients:
		for _, v := range vms {
			group.Go(func() { l.announceTo(ctx, v) })
		}
	case <-ctx.Done():
	case <-l.stopped:
	}
	group.Wait()
}

func (l *Loop) announceTo(ctx context.Context, v vm.VM) {
	request := &peerpb.LeaveRequest{Node: l.Node, Incarnation: l.Incarnation}
	if _, err := l.Dialer.To(v.Name, v.PeerAddress).Leave(ctx, request); err != nil {
		_ = level.Warn(l.Logger).Log("msg", "could not notify peer that the node is leaving", "peer", v.Name, "err", err)
	}
}

func (l *Loop) announcees() []vm.VM {
	snapshot := l.store.Snapshot()
	var chosen []vm.VM
	for _, domain := range config.Domains(snapshot) {
		count := 0
		for _, v := range config.RankWatchers(snapshot, domain, nil) {
			if v.Name != l.Node && count < announceesPerDomain {
				chosen = append(chosen, v)
				count++
			}
		}
	}
	return chosen
}
