package roster

import (
	"cmp"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/vm"
)

const (
	// maxRemovals is the number of removed entries that are remembered for peers.
	maxRemovals = 512
	// LapseGraceMs is the time after the publisher's return for which an entry that lapsed during its absence is still
	// used. Targets that live write their entries again within this time.
	LapseGraceMs clock.Millis = 1800
	// UnlistedGraceMs is the time for which a target whose entry vanished without a sign of leaving is still used. In this
	// time the node beside it can vouch for it.
	UnlistedGraceMs clock.Millis = 500
	// VouchMs is the time for which a node's word for its target counts.
	VouchMs clock.Millis = 1500
)

// Change is one entry of the published list at a revision.
type Change struct {
	Name     string `json:"name"`
	Revision int64  `json:"revision"`
	// VM is nil if the entry was removed or names no usable target.
	VM *vm.VM `json:"vm,omitempty"`
}

// Delta brings a roster to a revision.
type Delta struct {
	Revision int64 `json:"revision"`
	// Base is the revision after which the changes begin.
	Base int64 `json:"base,omitempty"`
	// Whole is true if the changes are the complete list, so that all other entries are gone.
	Whole   bool     `json:"whole,omitempty"`
	Changes []Change `json:"changes,omitempty"`
	// LapseGraceMs is the time for which entries that the delta removes are still used, because the publisher was away until
	// a short while ago.
	LapseGraceMs clock.Millis `json:"lapseGraceMs,omitempty"`
}

type entry struct {
	vm       vm.VM
	revision int64
	// lapsesAt is the time at which an entry that was removed counts as gone; 0 for an entry that is listed.
	lapsesAt clock.Millis
	// vouchable is true if the entry was removed while the publisher was there: the target may be cut off from it.
	vouchable bool
}

// Roster is the list as one node knows it. It is not safe for concurrent use.
type Roster struct {
	revision int64
	entries  map[string]*entry
	// removals are the latest removed entries, the earliest first.
	removals []Change
	// forgotten is the revision up to which removals are no longer remembered.
	forgotten int64
	// regainedAt is the time at which the publisher was last reached again after an absence.
	regainedAt clock.Millis
	absent     bool
}

// New returns an empty roster.
func New() *Roster {
	return &Roster{entries: make(map[string]*entry), regainedAt: -LapseGraceMs}
}

// Revision returns the revision up to which the list is known.
func (r *Roster) Revision() int64 {
	return r.revision
}

// PublisherLost says that the publisher can't be reached at the moment.
func (r *Roster) PublisherLost() {
	r.absent = true
}

// PublisherReached says that the publisher has answered.
func (r *Roster) PublisherReached(now clock.Millis) {
	if r.absent {
		r.absent, r.regainedAt = false, now
	}
}

// LapseGrace returns the time left for entries that lapsed during an absence of the publisher to be written again.
func (r *Roster) LapseGrace(now clock.Millis) clock.Millis {
	return max(0, r.regainedAt+LapseGraceMs-now)
}

// Apply takes a delta and returns the changes that were news.
func (r *Roster) Apply(d Delta, now clock.Millis) []Change {
	if d.LapseGraceMs > 0 {
		grace := min(d.LapseGraceMs, LapseGraceMs)
		r.regainedAt = max(r.regainedAt, now+grace-LapseGraceMs)
	}
	var news []Change
	listed := make(map[string]bool, len(d.Changes))
	for _, c := range d.Changes {
		listed[c.Name] = true
		if r.applyChange(c, now) {
			news = append(news, c)
		}
	}
	if d.Whole {
		for name, e := range r.entries {
			if gone := (Change{Name: name, Revision: d.Revision}); !listed[name] && e.revision < d.Revision && r.applyChange(gone, now) {
				news = append(news, gone)
			}
		}
	}
	if d.Whole || d.Base <= r.revision {
		// Otherwise changes between the known revision and the base may be missing.
		r.revision = max(r.revision, d.Revision)
	}
	return news
}

func (r *Roster) applyChange(c Change, now clock.Millis) bool {
	known := r.entries[c.Name]
	if known != nil && known.revision >= c.Revision {
		return false
	}
	if c.VM != nil && known != nil && known.lapsesAt == 0 && c.VM.ReportedBefore(known.vm) {
		// An old report that was written late says nothing new.
		known.revision = c.Revision
		return false
	}
	if c.VM != nil {
		r.entries[c.Name] = &entry{vm: *c.VM, revision: c.Revision}
		return true
	}
	r.remember(c)
	if known == nil {
		return false
	}
	if known.vm.State != vm.Live {
		delete(r.entries, c.Name)
		return true
	}
	known.revision = c.Revision
	if known.lapsesAt != 0 {
		return false
	}
	if now < r.regainedAt+LapseGraceMs {
		known.lapsesAt = r.regainedAt + LapseGraceMs
		return true
	}
	known.lapsesAt, known.vouchable = now+UnlistedGraceMs, true
	return true
}

// Vouch records that the node beside an unlisted target has found it serving and not leaving. It reports whether the
// entry is kept for it.
func (r *Roster) Vouch(name string, now clock.Millis) bool {
	e := r.entries[name]
	if e == nil || !e.vouchable || e.lapsesAt == 0 {
		return false
	}
	e.lapsesAt = max(e.lapsesAt, now+VouchMs)
	return true
}

// Unlisted returns the entry of the target at the address if it is in use without being listed.
func (r *Roster) Unlisted(targetAddress string) (vm.VM, bool) {
	for _, e := range r.entries {
		if e.vm.TargetAddress == targetAddress && e.vouchable && e.lapsesAt != 0 {
			return e.vm, true
		}
	}
	return vm.VM{}, false
}

func (r *Roster) remember(c Change) {
	r.removals = append(r.removals, c)
	if excess := len(r.removals) - maxRemovals; excess > 0 {
		r.forgotten = max(r.forgotten, r.removals[excess-1].Revision)
		r.removals = slices.Delete(r.removals, 0, excess)
	}
}

// Expire drops the unlisted entries whose time has passed. It reports whether there were any.
func (r *Roster) Expire(now clock.Millis) bool {
	expired := false
	for name, e := range r.entries {
		if e.lapsesAt != 0 && now >= e.lapsesAt {
			delete(r.entries, name)
			expired = true
		}
	}
	return expired
}

// Since returns what a peer with the revision lacks.
func (r *Roster) Since(revision int64) Delta {
	d := Delta{Revision: r.revision, Base: revision}
	if revision >= r.revision {
		return d
	}
	d.Whole = revision == 0 || revision < r.forgotten
	for name, e := range r.entries {
		if e.lapsesAt == 0 && (d.Whole || e.revision > revision) {
			v := e.vm
			d.Changes = append(d.Changes, Change{Name: name, Revision: e.revision, VM: &v})
		}
	}
	if !d.Whole {
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

// Onward returns what other rosters at the revision base lack after the delta d was applied to this one at that revision.
// It is not just what was news here: an entry that came early, ahead of its turn, is known here and may be unknown there.
func (r *Roster) Onward(base int64, d Delta) Delta {
	if r.revision <= base {
		return d
	}
	return r.Since(base)
}

// VMs returns the entries in force, sorted by name. Of several entries with one address only that of the target which
// started last counts: the entry of a target that crashed stays listed for a while.
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
