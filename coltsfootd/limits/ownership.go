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

// seatOwnership is this node's fenced seatOwnership of the seats of accounts, among all VMs of the domain, and of its
// service, among those VMs that run it. The reports of a VM count for both. The caller holds the lock of Limits.
type seatOwnership struct {
	node         string
	incarnation  uint64
	fenceTime    clock.Millis
	refreshAfter clock.Millis
	domainSeats  *seat.Ownership
	serviceSeats *seat.Ownership
	serviceVMs   []string
	previousVMs  []string
	settledAt    clock.Millis
	confirmedAt  map[string]clock.Millis
	peerClocks   map[string]peerClock
}

// peerClock is the clock of another VM's incarnation as it was in its last report.
type peerClock struct {
	ms          int64
	incarnation uint64
}

func newSeatOwnership(c Config) *seatOwnership {
	times := seat.Config{Fence: c.Fence, Margin: c.Margin}
	return &seatOwnership{
		node: c.Node, incarnation: c.Incarnation, fenceTime: c.Fence, refreshAfter: (c.Fence - c.Margin) * refreshTenths / 10,
		domainSeats: seat.New(c.Node, c.Incarnation, times), serviceSeats: seat.New(c.Node, c.Incarnation, times),
		confirmedAt: make(map[string]clock.Millis), peerClocks: make(map[string]peerClock),
	}
}

func (o *seatOwnership) setLists(domain, service seat.List, now clock.Millis) {
	if before := o.domainSeats.CurrentList(); !slices.Equal(before.VMs, domain.VMs) {
		o.settledAt, o.previousVMs = now+settleFences*o.fenceTime, before.VMs
	}
	o.domainSeats.SetList(domain, now)
	o.serviceSeats.SetList(service, now)
	o.serviceVMs = service.VMs
}

func (o *seatOwnership) tick(now clock.Millis) {
	o.domainSeats.Tick(now)
	o.serviceSeats.Tick(now)
}

func (o *seatOwnership) discardConfirmations(now clock.Millis) {
	o.domainSeats.HandlePause(now)
	o.serviceSeats.HandlePause(now)
	clear(o.confirmedAt)
}

// report returns what this node tells the VM about its list.
func (o *seatOwnership) report(to string, now clock.Millis) *peerpb.SeatReport {
	r, echo := o.domainSeats.Report(now), o.peerClocks[to]
	return &peerpb.SeatReport{
		Vm: r.VM, Incarnation: r.Incarnation, Version: r.Version, HeldMs: int64(r.HeldFor), First: r.OnFirstList, Voting: r.Voting,
		StampMs: int64(now), EchoMs: echo.ms, EchoIncarnation: echo.incarnation,
	}
}

// acceptReply notes a report that answers a request sent at sentAt.
func (o *seatOwnership) acceptReply(r *peerpb.SeatReport, from string, sentAt, now clock.Millis) {
	if r.GetVm() != from || r.GetVersion() == 0 {
		return
	}
	o.peerClocks[from] = peerClock{ms: r.GetStampMs(), incarnation: r.GetIncarnation()}
	o.confirmedAt[from] = max(o.confirmedAt[from], sentAt)
	report := seat.Report{
		VM: from, Incarnation: r.GetIncarnation(), Version: r.GetVersion(), HeldFor: clock.Millis(r.GetHeldMs()),
		OnFirstList: r.GetFirst(), Voting: r.GetVoting(),
	}
	o.domainSeats.HandleReport(report, sentAt, now)
	o.serviceSeats.HandleReport(report, sentAt, now)
}

// acceptRequest notes a report that came with another node's request. The echo of this node's clock bounds its age.
func (o *seatOwnership) acceptRequest(r *peerpb.SeatReport, from string, now clock.Millis) {
	if r.GetVm() != from {
		return
	}
	o.peerClocks[from] = peerClock{ms: r.GetStampMs(), incarnation: r.GetIncarnation()}
	if r.GetEchoIncarnation() == o.incarnation && clock.Millis(r.GetEchoMs()) <= now {
		o.acceptReply(r, from, clock.Millis(r.GetEchoMs()), now)
	}
}

// reportDue reports whether a draw is to carry a report, so that none has to be asked for soon.
func (o *seatOwnership) reportDue(name string, now clock.Millis) bool {
	return o.confirmedAt[name] < now-o.refreshAfter/2
}

// vmsToAsk returns the VMs to ask for reports: all after a change, else as many as a majority and one spare need.
// Nodes prefer those that follow them in the list, so that a request in one direction serves both.
func (o *seatOwnership) vmsToAsk(now clock.Millis) []string {
	list := o.domainSeats.CurrentList().VMs
	at, listed := slices.BinarySearch(list, o.node)
	fresh := func(name string) bool { return o.confirmedAt[name] > now-o.refreshAfter }
	var ask []string
	add := func(name string) {
		if name != o.node && !fresh(name) && !slices.Contains(ask, name) {
			ask = append(ask, name)
		}
	}
	if now < o.settledAt {
		for _, name := range slices.Concat(list, o.previousVMs) {
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
