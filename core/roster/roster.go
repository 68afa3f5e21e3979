package roster

import (
	"cmp"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/vm"
)

const (
	// maxRemovals is the number of removed entries that are kept so that peers can learn of them.
	maxRemovals = 512
	// LapseGraceMs is the time after the publisher's return for which entries remain in use that expired while it was
	// unreachable. Live targets write their entries again within this time.
	LapseGraceMs clock.Millis = 1800
	// UnlistedGraceMs is the time for which a target remains in use after its entry was removed without a sign of leaving.
	// During this time the node beside the target can confirm that it still serves.
	UnlistedGraceMs clock.Millis = 500
	// ServingConfirmationMs is the time for which the confirmation of the node beside an unlisted target is valid.
	ServingConfirmationMs clock.Millis = 1500
)

// Change is the state of one entry of the published list at a revision.
type Change struct {
	Name string `json:"name"`
	// Epoch counts how often the publisher was restored from a copy; its revisions begin anew each time.
	Epoch    int64 `json:"epoch,omitempty"`
	Revision int64 `json:"revision"`
	// VM is nil if the entry was removed or doesn't describe a usable target.
	VM *vm.VM `json:"vm,omitempty"`
}

// Delta is an update that brings a roster to a revision.
type Delta struct {
	Epoch    int64 `json:"epoch,omitempty"`
	Revision int64 `json:"revision"`
	// BaseRevision is the revision after which the changes begin.
	BaseRevision int64 `json:"base,omitempty"`
	// Full is true if the changes are the complete list, so that all other entries are removed.
	Full    bool     `json:"whole,omitempty"`
	Changes []Change `json:"changes,omitempty"`
	// LapseGraceMs is the time for which entries that the delta removes remain in use, because the publisher has only
	// recently become reachable again.
	LapseGraceMs clock.Millis `json:"lapseGraceMs,omitempty"`
}

type entry struct {
	vm       vm.VM
	revision int64
	// expiresAt is the time at which a removed entry goes out of use; 0 for a listed entry.
	expiresAt clock.Millis
	// confirmable is true if the entry was removed while the publisher was reachable. The target may only be cut off from
	// the publisher, so the node beside it can confirm that it still serves.
	confirmable bool
}

// Roster is the list of targets as one node knows it. It is not safe for concurrent use.
type Roster struct {
	revision int64
	entries  map[string]*entry
	// removals are the most recently removed entries, the oldest first.
	removals []Change
	// removalsDroppedTo is the revision up to which removals are no longer kept.
	removalsDroppedTo int64
	// publisherBackAt is the time at which the publisher last became reachable again.
	publisherBackAt      clock.Millis
	publisherUnreachable bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[string]*entry), publisherBackAt: -LapseGraceMs}
}

// Revision returns the revision up to which this roster is complete.
func (r *Roster) Revision() int64 {
	return r.revision
}

// MarkPublisherUnreachable records that the publisher can't be reached.
func (r *Roster) MarkPublisherUnreachable() {
	r.publisherUnreachable = true
}

// MarkPublisherReachable records that the publisher has answered.
func (r *Roster) MarkPublisherReachable(now clock.Millis) {
	if r.publisherUnreachable {
		r.publisherUnreachable, r.publisherBackAt = false, now
	}
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
	var applied []Change
	listed := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		listed[c.Name] = true
		if r.applyChange(c, now) {
			applied = append(applied, c)
		}
	}
	if d.Full {
		for name, e := range r.entries {
			if c := (Change{Name: name, Revision: d.Revision}); !listed[name] && e.revision < d.Revision && r.applyChange(c, now) {
				applied = append(applied, c)
			}
		}
	}
	if d.Full || d.BaseRevision <= r.revision {
		// Otherwise changes between the known revision and the base revision may be missing.
		r.revision = max(r.revision, d.Revision)
	}
	return applied
}

func (r *Roster) applyChange(c Change, now clock.Millis) bool {
	known := r.entries[c.Name]
	if known != nil && known.revision >= c.Revision {
		return false
	}
	if c.VM != nil && known != nil && known.expiresAt == 0 && c.VM.ReportedBefore(known.vm) {
		// An older report of the target that was written late contains nothing new.
		known.revision = c.Revision
		return false
	}
	if c.VM != nil {
		r.entries[c.Name] = &entry{vm: *c.VM, revision: c.Revision}
		return true
	}
	r.recordRemoval(c)
	if known == nil {
		return false
	}
	if known.vm.State != vm.Live {
		delete(r.entries, c.Name)
		return true
	}
	known.revision = c.Revision
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

func (r *Roster) recordRemoval(c Change) {
	r.removals = append(r.removals, c)
	if excess := len(r.removals) - maxRemovals; excess > 0 {
		r.removalsDroppedTo = max(r.removalsDroppedTo, r.removals[excess-1].Revision)
		r.removals = slices.Delete(r.removals, 0, excess)
	}
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

// DeltaSince returns the delta that a peer at the revision lacks.
func (r *Roster) DeltaSince(revision int64) Delta {
	d := Delta{Revision: r.revision, BaseRevision: revision}
	if revision >= r.revision {
		return d
	}
	d.Full = revision == 0 || revision < r.removalsDroppedTo
	for name, e := range r.entries {
		if e.expiresAt == 0 && (d.Full || e.revision > revision) {
			v := e.vm
			d.Changes = append(d.Changes, Change{Name: name, Revision: e.revision, VM: &v})
		}
	}
	if !d.Full {
		for _, c := range r.removals {
			if c.Revision > revision {
				d.Changes = append(d.Changes, c)
			}
		}
	}
	slices.SortFunc(d.Changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Revision, b.Revision), cmp.Compare(a.Name, b.Name))
	})
	return d
}

// DeltaToForward returns what rosters at the revision base lack after d has been applied to this one, which was at base
// before. This can be more than the changes that were new here: an entry that arrived early, ahead of its revision, is
// already known here but may be unknown to the others.
func (r *Roster) DeltaToForward(base int64, d Delta) Delta {
	if r.revision <= base {
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
	return e.revision > other.revision
}
