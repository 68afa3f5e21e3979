package roster

import (
	"cmp"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/vm"
)

const (
	// LapseGraceMs is the time after the publisher's return for which entries remain in use that expired while it was
	// unreachable. Live targets write their entries again within this time.
	LapseGraceMs clock.Millis = 1800
	// UnlistedGraceMs is the time for which a target remains in use after its entry was removed without a sign of leaving.
	// During this time the node beside the target can confirm that it still serves.
	UnlistedGraceMs clock.Millis = 500
	// ServingConfirmationMs is the time for which the confirmation of the node beside an unlisted target is valid.
	ServingConfirmationMs clock.Millis = 1500
	// minOutageMs is the shortest time without an answer, here or at other nodes, in which entries can expire because the publisher
	// is unreachable. One failed call is no outage.
	minOutageMs clock.Millis = 1200
)

type entry struct {
	vm vm.VM
	// changedAt is the position at which the entry got this state. An entry that a restored publisher lists unchanged keeps it, so
	// that nodes are sent only what differs.
	changedAt history.Position
	// expiresAt is the time at which a removed entry goes out of use; 0 for a listed entry.
	expiresAt clock.Millis
	// confirmable is true if the entry was removed while the publisher was reachable. The target may only be cut off from
	// the publisher, so the node beside it can confirm that it still serves.
	confirmable bool
}

// Roster is the list of targets as one node knows it. It is not safe for concurrent use.
type Roster struct {
	position   history.Position
	entries    map[string]*entry
	departures *departures
	gaps       gaps
	// publisherBackAt is the time at which the publisher last became reachable again, or was restored.
	publisherBackAt clock.Millis
	// answeredAt is the time at which the latest call was sent that the publisher has answered. publisherUnreachable is true if a
	// later one has failed.
	answeredAt           clock.Millis
	publisherUnreachable bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[string]*entry), departures: newDepartures(), publisherBackAt: -LapseGraceMs}
}

// Position returns the position up to which this roster is complete.
func (r *Roster) Position() history.Position {
	return r.position
}

// MarkPublisherUnreachable records that the publisher has not answered a call that was sent at the time. A call that was sent
// before the latest answered one says nothing about the time since.
func (r *Roster) MarkPublisherUnreachable(sentAt clock.Millis) {
	if sentAt > r.answeredAt {
		r.publisherUnreachable = true
	}
}

// MarkPublisherReachable records that the publisher has answered a call that was sent at the time, here or at another node.
func (r *Roster) MarkPublisherReachable(sentAt clock.Millis) {
	if sentAt <= r.answeredAt {
		return
	}
	silence := sentAt - r.answeredAt
	r.answeredAt = sentAt
	if r.publisherUnreachable && silence >= minOutageMs {
		r.publisherBackAt = sentAt
	}
	r.publisherUnreachable = false
}

// MarkPublisherRestored records that the publisher has returned from a copy. Targets write again what the copy lacks.
func (r *Roster) MarkPublisherRestored(now clock.Millis) {
	r.publisherUnreachable, r.publisherBackAt = false, now
}

// LapseGrace returns the time left in which entries that expired while the publisher was unreachable can be written
// again.
func (r *Roster) LapseGrace(now clock.Millis) clock.Millis {
	return max(0, r.publisherBackAt+LapseGraceMs-now)
}

// Apply applies the delta and returns those of its changes that were new.
func (r *Roster) Apply(d Delta, now clock.Millis) []Change {
	if d.LapseGraceMs > 0 {
		grace := min(d.LapseGraceMs, LapseGraceMs)
		r.publisherBackAt = max(r.publisherBackAt, now+grace-LapseGraceMs)
	}
	if d.Epoch > r.position.Epoch {
		r.departures.holdFrom(now)
	}
	current := d.Full && !d.Position().Before(r.position)
	var applied []Change
	listed := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		listed[c.Name] = true
		if !current && r.removedSince(c) {
			continue
		}
		if r.applyChange(c, now) {
			applied = append(applied, c)
		}
	}
	if d.Full {
		for name, e := range r.entries {
			c := Change{Name: name, Epoch: d.Epoch, Revision: d.Revision}
			if !listed[name] && e.changedAt.Before(d.Position()) && r.applyChange(c, now) {
				applied = append(applied, c)
			}
		}
		r.departures.repeatUnlisted(listed, d.Position(), now)
	}
	if d.Full || d.completes(r.position) {
		if d.Full || d.Gap {
			r.gaps.add(r.position, d.Position())
		}
		r.position = history.Latest(r.position, d.Position())
	}
	return applied
}

// removedSince reports whether the change lists a target that this roster, which is complete up to a later position, doesn't
// have.
func (r *Roster) removedSince(c Change) bool {
	return c.VM != nil && r.entries[c.Name] == nil && !r.position.Before(c.Position())
}

func (r *Roster) applyChange(c Change, now clock.Millis) bool {
	known := r.entries[c.Name]
	if known != nil && !known.changedAt.Before(c.Position()) {
		return false
	}
	if c.VM == nil {
		return r.applyRemoval(c, known, now)
	}
	if known != nil && known.expiresAt == 0 && !known.replacedBy(c) {
		return false
	}
	if r.departures.outdated(c, now) {
		return false
	}
	r.departures.forget(c.Name)
	r.entries[c.Name] = &entry{vm: *c.VM, changedAt: c.Position()}
	return true
}

// replacedBy reports whether the change replaces the listed entry.
func (e *entry) replacedBy(c Change) bool {
	if c.Epoch != e.changedAt.Epoch {
		// A restored publisher lists the reports of its copy until the targets write newer ones.
		return *c.VM != e.vm && c.VM.Report().MayFollow(e.vm.Report())
	}
	if c.VM.ReportedBefore(e.vm) {
		// A report that was written late contains nothing new.
		e.changedAt = c.Position()
		return false
	}
	return true
}

func (r *Roster) applyRemoval(c Change, known *entry, now clock.Millis) bool {
	if known != nil {
		if last := known.vm.Report(); c.Last == nil || last.MayFollow(*c.Last) {
			c.Last = &last
		}
	}
	r.departures.record(c, now)
	if known == nil {
		return false
	}
	if known.vm.State != vm.Live {
		delete(r.entries, c.Name)
		return true
	}
	known.changedAt = c.Position()
	if known.expiresAt != 0 {
		return false
	}
	if now < r.publisherBackAt+LapseGraceMs {
		known.expiresAt = r.publisherBackAt + LapseGraceMs
		return true
	}
	known.expiresAt, known.confirmable = now+UnlistedGraceMs, true
	return true
}

// ConfirmServing records that the node beside an unlisted target has found it serving and not leaving. It reports whether
// the entry remains in use because of this.
func (r *Roster) ConfirmServing(name string, now clock.Millis) bool {
	e := r.entries[name]
	if e == nil || !e.confirmable || e.expiresAt == 0 {
		return false
	}
	e.expiresAt = max(e.expiresAt, now+ServingConfirmationMs)
	return true
}

// UnlistedVM returns the entry of the target at the address if it is unlisted but in use and its node can confirm that it
// serves.
func (r *Roster) UnlistedVM(targetAddress string) (vm.VM, bool) {
	for _, e := range r.entries {
		if e.vm.TargetAddress == targetAddress && e.confirmable && e.expiresAt != 0 {
			return e.vm, true
		}
	}
	return vm.VM{}, false
}

// RemoveExpired removes the unlisted entries that have expired, and reports whether there were any.
func (r *Roster) RemoveExpired(now clock.Millis) bool {
	expired := false
	for name, e := range r.entries {
		if e.expiresAt != 0 && now >= e.expiresAt {
			delete(r.entries, name)
			expired = true
		}
	}
	return expired
}

// DeltaSince returns the delta that a peer at the position lacks.
func (r *Roster) DeltaSince(p history.Position) Delta {
	d := Delta{
		Epoch: r.position.Epoch, Revision: r.position.Revision, BaseEpoch: p.Epoch, BaseRevision: p.Revision,
	}
	if !p.Before(r.position) {
		return d
	}
	d.Full = p == history.Position{} || p.Before(r.departures.droppedTo) || r.gaps.contain(p)
	d.Gap = r.gaps.after(p)
	for name, e := range r.entries {
		if e.expiresAt == 0 && (d.Full || p.Before(e.changedAt)) {
			v := e.vm
			d.Changes = append(d.Changes, Change{
				Name: name, Epoch: e.changedAt.Epoch, Revision: e.changedAt.Revision, VM: &v,
			})
		}
	}
	// A peer without a list needs the departures, too, to tell them from targets that a restored publisher lists from its copy.
	d.Changes = append(d.Changes, r.departures.since(p, r.listed)...)
	slices.SortFunc(d.Changes, func(a, b Change) int {
		return cmp.Or(a.Position().Compare(b.Position()), cmp.Compare(a.Name, b.Name))
	})
	return d
}

func (r *Roster) listed(name string) bool {
	e := r.entries[name]
	return e != nil && e.expiresAt == 0
}

// DeltaToForward returns what rosters at the position base lack after d has been applied to this one, which was at base
// before. This can be more than the changes that were new here: an entry that arrived early, ahead of its revision, is
// already known here but may be unknown to the others.
func (r *Roster) DeltaToForward(base history.Position, d Delta) Delta {
	if !base.Before(r.position) {
		return d
	}
	return r.DeltaSince(base)
}

// VMs returns the entries in use, sorted by name. If several entries have the same address, only the target that started
// last counts, because the entry of a crashed target remains listed for a while.
func (r *Roster) VMs() []vm.VM {
	newest := make(map[string]*entry, len(r.entries))
	var vms []vm.VM
	for _, e := range r.entries {
		if e.vm.TargetAddress == "" {
			vms = append(vms, e.vm)
			continue
		}
		if other := newest[e.vm.TargetAddress]; other == nil || e.startedAfter(other) {
			newest[e.vm.TargetAddress] = e
		}
	}
	for _, e := range newest {
		vms = append(vms, e.vm)
	}
	slices.SortFunc(vms, func(a, b vm.VM) int { return cmp.Compare(a.Name, b.Name) })
	return vms
}

func (e *entry) startedAfter(other *entry) bool {
	if e.vm.StartedMs != 0 && other.vm.StartedMs != 0 && e.vm.StartedMs != other.vm.StartedMs {
		return e.vm.StartedMs > other.vm.StartedMs
	}
	return other.changedAt.Before(e.changedAt)
}
