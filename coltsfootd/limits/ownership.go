package limits

import (
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/seat"
	"coltsfootusher.example/peer/peerpb"
)

// settleFences is the number of fence times after a start or a change of the VM list during which reports are requested
// from all VMs.
const settleFences = 3

// refreshTenths is the fraction, in tenths, of a confirmation's validity after which the next one is requested. At five
// tenths, an idle node sent 1,991 B/s of the 2 KB/s allowed for control traffic; seven tenths left too little time on a
// busy machine.
const refreshTenths = 6

// seatOwnership is this node's fenced ownership of two kinds of seats: those of accounts, shared among all VMs of the
// domain, and those of its service, shared among the VMs that run it. A report of a VM counts for both. The caller
// holds the lock of Limits.
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

// peerClock is the clock of an incarnation of another VM at its last report.
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
	if previous := o.domainSeats.CurrentList(); !slices.Equal(previous.VMs, domain.VMs) {
		o.settledAt, o.previousVMs = now+settleFences*o.fenceTime, previous.VMs
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

// report returns the report for the VM to.
func (o *seatOwnership) report(to string, now clock.Millis) *peerpb.SeatReport {
	r, echo := o.domainSeats.Report(now), o.peerClocks[to]
	return &peerpb.SeatReport{
		Vm: r.VM, Incarnation: r.Incarnation, Version: r.Version, HeldMs: int64(r.HeldFor), First: r.OnFirstList, Voting: r.Voting,
		StampMs: int64(now), EchoMs: echo.ms, EchoIncarnation: echo.incarnation,
	}
}

// acceptReply records a report that answers a request sent at sentAt.
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

// acceptRequest records a report that came with another node's request. The report echoes this node's clock, which
// bounds its age.
func (o *seatOwnership) acceptRequest(r *peerpb.SeatReport, from string, now clock.Millis) {
	if r.GetVm() != from {
		return
	}
	o.peerClocks[from] = peerClock{ms: r.GetStampMs(), incarnation: r.GetIncarnation()}
	if r.GetEchoIncarnation() == o.incarnation && clock.Millis(r.GetEchoMs()) <= now {
		o.acceptReply(r, from, clock.Millis(r.GetEchoMs()), now)
	}
}

// reportDue reports whether a draw should carry a report, which saves a separate request soon after.
func (o *seatOwnership) reportDue(name string, now clock.Millis) bool {
	return o.confirmedAt[name] < now-o.refreshAfter/2
}

// vmsToAsk returns the VMs to request reports from: all of them after a change, otherwise as many as a majority and one
// spare need. Nodes prefer those that follow them in the list, so that a request in one direction serves both.
func (o *seatOwnership) vmsToAsk(now clock.Millis) []string {
	list := o.domainSeats.CurrentList().VMs
	selfIndex, listed := slices.BinarySearch(list, o.node)
	fresh := func(name string) bool { return o.confirmedAt[name] > now-o.refreshAfter }
	var toAsk []string
	add := func(name string) {
		if name != o.node && !fresh(name) && !slices.Contains(toAsk, name) {
			toAsk = append(toAsk, name)
		}
	}
	if now < o.settledAt {
		for _, name := range slices.Concat(list, o.previousVMs) {
			add(name)
		}
		return toAsk
	}
	for _, name := range o.serviceVMs {
		add(name)
	}
	if !listed {
		return toAsk
	}
	missing := len(list)/2 + 1 - len(toAsk)
	for _, name := range list {
		if name != o.node && fresh(name) {
			missing--
		}
	}
	for i := 1; i < len(list) && missing > 0; i++ {
		before := len(toAsk)
		add(list[(selfIndex+i)%len(list)])
		missing -= len(toAsk) - before
	}
	return toAsk
}
