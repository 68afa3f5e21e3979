package roster

import (
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/vm"
)

// Change is the state of one entry of the published list at a revision.
type Change struct {
	Name string `json:"name"`
	// Epoch and Revision are the position at which the entry got this state.
	Epoch    int64 `json:"epoch,omitempty"`
	Revision int64 `json:"revision"`
	// VM is nil if the entry was removed or doesn't describe a usable target.
	VM *vm.VM `json:"vm,omitempty"`
	// Last is the last known report of a removed target, or nil.
	Last *vm.Report `json:"last,omitempty"`
}

// Position returns the position at which the entry got this state.
func (c Change) Position() history.Position {
	return history.Position{Epoch: c.Epoch, Revision: c.Revision}
}

// Delta is an update that brings a roster to a revision.
type Delta struct {
	Epoch    int64 `json:"epoch,omitempty"`
	Revision int64 `json:"revision"`
	// BaseEpoch and BaseRevision are the position after which the changes begin.
	BaseEpoch    int64 `json:"baseEpoch,omitempty"`
	BaseRevision int64 `json:"base,omitempty"`
	// Full is true if the changes are the complete list, so that all other entries are removed.
	Full bool `json:"whole,omitempty"`
	// Gap is true if an entry that was both added and removed after the base may be missing in the changes.
	Gap     bool     `json:"gap,omitempty"`
	Changes []Change `json:"changes,omitempty"`
	// LapseGraceMs is the time for which entries that the delta removes remain in use, because the publisher has only
	// recently become reachable again.
	LapseGraceMs clock.Millis `json:"lapseGraceMs,omitempty"`
}

// Position returns the position to which the delta brings a roster.
func (d Delta) Position() history.Position {
	return history.Position{Epoch: d.Epoch, Revision: d.Revision}
}

// Base returns the position after which the changes begin.
func (d Delta) Base() history.Position {
	return history.Position{Epoch: d.BaseEpoch, Revision: d.BaseRevision}
}

// completes reports whether the delta has everything that a roster at the position lacks. What is missing because of a gap is
// known only for rosters at the base.
func (d Delta) completes(p history.Position) bool {
	if d.Gap {
		return p == d.Base()
	}
	return !p.Before(d.Base())
}
