package limits

import (
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/seat"
	"coltsfootusher.example/peer/peerpb"
)

// settleFences is the number of fences after a start or a change of the list in which all VMs are asked for reports.
const settleFences = 3

// refreshTenths is the part of the time for which a confirmation counts after which the next one is asked for. Half of
// it brought an idle node to 1,991 B/s of the 2 KB/s for control; seven tenths left too little time on a busy machine.
const refreshTenths = 6

// ownership is this node's fenced ownership of the seats of accounts, among all VMs of the domain, and of its
// service, among those VMs that run it. The reports of a VM count for both. The caller holds the lock of Limits.
type ownership struct {
	node        string
	incarnation uint64
	fence       clock.Millis
	refresh     clock.Millis
	domain      *seat.Ownership
	service     *seat.Ownership
	serviceVMs  []string
	earlierVMs  []string
	settled     clock.Millis
	heard       map[string]clock.Millis
	stamps      map[string]stamp
}

// stamp is the clock of another VM's incarnation as it was in its last report.
type stamp struct {
	at          int64
	incarnation uint64
}

func newOwnership(c Config) *ownership {
	times := seat.Config{Fence: c.Fence, Margin: c.Margin}
	return &ownership{
		node: c.Node, incarnation: c.Incarnation, fence: c.Fence, refresh: (c.Fence - c.Margin) * refreshTenths / 10,
		domain: seat.New(c.Node, c.Incarnation, times), service: seat.New(c.Node, c.Incarnation, times),
		heard: make(map[string]clock.Millis), stamps: make(map[string]stamp),
	}
}

func (o *ownership) setLists(domain, service seat.List, now clock.Millis) {
	if before := o.domain.CurrentList(); !slices.Equal(before.VMs, domain.VMs) {
		o.settled, o.earlierVMs = now+settleFences*o.fence, before.VMs
	}
	o.domain.SetList(domain, now)
	o.service.SetList(service, now)
	o.serviceVMs = service.VMs
}

func (o *ownership) tick(now clock.Millis) {
	o.domain.Tick(now)
	o.service.Tick(now)
}

func (o *ownership) paused(now clock.Millis) {
	o.domain.HandlePause(now)
	o.service.HandlePause(now)
	clear(o.heard)
}

// report returns what this node tells the VM about its list.
func (o *ownership) report(to string, now clock.Millis) *peerpb.SeatReport {
	r, echo := o.domain.Report(now), o.stamps[to]
	return &peerpb.SeatReport{
		Vm: r.VM, Incarnation: r.Incarnation, Version: r.Version, HeldMs: int64(r.HeldFor), First: r.OnFirstList, Voting: r.Voting,
		StampMs: int64(now), EchoMs: echo.at, EchoIncarnation: echo.incarnation,
	}
}

// acceptReply notes a report that answers a request sent at sentAt.
func (o *ownership) acceptReply(r *peerpb.SeatReport, from string, sentAt, now clock.Millis) {
	if r.GetVm() != from || r.GetVersion() == 0 {
		return
	}
	o.stamps[from] = stamp{at: r.GetStampMs(), incarnation: r.GetIncarnation()}
	o.heard[from] = max(o.heard[from], sentAt)
	report := seat.Report{
		VM: from, Incarnation: r.GetIncarnation(), Version: r.GetVersion(), HeldFor: clock.Millis(r.GetHeldMs()),
		OnFirstList: r.GetFirst(), Voting: r.GetVoting(),
	}
	o.domain.HandleReport(report, sentAt, now)
	o.service.HandleReport(report, sentAt, now)
}

// acceptRequest notes a report that came with another node's request. The echo of this node's clock bounds its age.
func (o *ownership) acceptRequest(r *peerpb.SeatReport, from string, now clock.Millis) {
	if r.GetVm() != from {
		return
	}
	o.stamps[from] = stamp{at: r.GetStampMs(), incarnation: r.GetIncarnation()}
	if r.GetEchoIncarnation() == o.incarnation && clock.Millis(r.GetEchoMs()) <= now {
		o.acceptReply(r, from, clock.Millis(r.GetEchoMs()), now)
	}
}

// reportDue reports whether a draw is to carry a report, so that none has to be asked for soon.
func (o *ownership) reportDue(name string, now clock.Millis) bool {
	return o.heard[name] < now-o.refresh/2
}

// stale returns the VMs to ask for reports: all after a change, else as many as a majority and one spare need.
// Nodes prefer those that follow them in the list, so that a request in one direction serves both.
func (o *ownership) stale(now clock.Millis) []string {
	list := o.domain.CurrentList().VMs
	at, listed := slices.BinarySearch(list, o.node)
	fresh := func(name string) bool { return o.heard[name] > now-o.refresh }
	var ask []string
	add := func(name string) {
		if name != o.node && !fresh(name) && !slices.Contains(ask, name) {
			ask = append(ask, name)
		}
	}
	if now < o.settled {
		for _, name := range slices.Concat(list, o.earlierVMs) {
			add(name)
		}
		return ask
	}
	for _, name := range o.serviceVMs {
		add(name)
	}
	if !listed {
		return ask
	}
	enough := len(list)/2 + 1 - len(ask)
	for _, name := range list {
		if name != o.node && fresh(name) {
			enough--
		}
	}
	for i := 1; i < len(list) && enough > 0; i++ {
		before := len(ask)
		add(list[(at+i)%len(list)])
		enough -= len(ask) - before
	}
	return ask
}
