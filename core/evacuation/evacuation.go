package evacuation

import (
	"cmp"
	"maps"
	"slices"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
)

// Error is the class of errors about malformed sets.
var Error = errs.Class("evacuation")

const (
	// rewriteMs is the time after the return of a restored publisher in which operators write their keys again, deliveryMs the time
	// in which a key that was written again reaches the nodes.
	rewriteMs  clock.Millis = 2000
	deliveryMs clock.Millis = 1000
	// RestoreHoldMs is the time from the return of a restored publisher during which evacuations that its copy lacks stay in force.
	RestoreHoldMs = rewriteMs + deliveryMs
	// MaxDomains is the number of domains that a set can hold, far above the number of failure domains of a deployment.
	MaxDomains = 256
	// MaxDomainBytes is the length of the longest name of a domain, that of the longest key of the publisher.
	MaxDomainBytes = 200
)

// Entry is an evacuated domain with the position at which the publisher recorded the evacuation.
type Entry struct {
	Domain string `json:"domain"`
	history.Position
}

// Snapshot is the content of a set, as it is read from the publisher and sent to other nodes.
type Snapshot struct {
	// Known is the position up to which the evacuations are complete. Entries may lie after it.
	Known history.Position `json:"known"`
	// Entries are the evacuated domains. Those of an earlier epoch than Known are missing in the publisher's copy and are held.
	Entries []Entry `json:"domains,omitempty"`
	// HoldMs is the rest of the time for which held entries stay in force.
	HoldMs clock.Millis `json:"holdMs,omitempty"`
	// AgeMs is the time since the publisher was last known to have shown nothing newer, or -1 if it isn't known.
	AgeMs clock.Millis `json:"ageMs,omitempty"`
}

// Validate returns an error if a field has a value that no node sends.
func (s Snapshot) Validate() error {
	if !s.Known.Valid() || s.HoldMs < 0 || s.AgeMs < -1 || len(s.Entries) > MaxDomains {
		return Error.New("set has a negative position or time, or more than %d domains", MaxDomains)
	}
	for _, e := range s.Entries {
		if e.Domain == "" || len(e.Domain) > MaxDomainBytes || !e.Valid() {
			return Error.New("set has the unusable entry %.*q", MaxDomainBytes, e.Domain)
		}
	}
	return nil
}

// Event is a change of one evacuation.
type Event struct {
	Domain string
	history.Position
	// Ended is true if the evacuation was removed.
	Ended bool
}

// Changes are events in the publisher's order. They are complete after Base, and up to the last of them.
type Changes struct {
	Base   history.Position
	Events []Event
}

// Change is a domain that has become evacuated, or that may be used again.
type Change struct {
	Entry
	Evacuated bool
}

// Set holds the evacuated domains. It is not safe for concurrent use. The zero value knows nothing.
//
// Of two sets, the one with the later known position is right about everything up to that position. A removal therefore needs no
// record of its own: a domain has been given back if a set lacks it whose known position is later than that of the evacuation.
type Set struct {
	known history.Position
	// positions holds the evacuated domains. Those of an earlier epoch than known are held until heldUntil.
	positions map[string]history.Position
	heldUntil clock.Millis
	// lastEpochKnown is the known position before the current epoch. Entries of other nodes up to it have been removed if this set
	// lacks them.
	lastEpochKnown history.Position
}

// Known returns the position up to which the set is complete, which is zero before the first full read.
func (s *Set) Known() history.Position {
	return s.known
}

// Domains returns the evacuated domains in alphabetical order.
func (s *Set) Domains() []string {
	return slices.Sorted(maps.Keys(s.positions))
}

// Snapshot returns the content of the set at the time, without an age.
func (s *Set) Snapshot(now clock.Millis) Snapshot {
	snapshot := Snapshot{Known: s.known}
	for _, domain := range s.Domains() {
		snapshot.Entries = append(snapshot.Entries, Entry{Domain: domain, Position: s.positions[domain]})
	}
	if s.holding(now) {
		snapshot.HoldMs = s.heldUntil - now
	}
	return snapshot
}

// ApplyRead takes over a full read of the publisher and returns the domains that changed. If it is the first one of an epoch,
// evacuations that it lacks are held.
func (s *Set) ApplyRead(read Snapshot, now clock.Millis) []Change {
	read.HoldMs = RestoreHoldMs
	return s.Merge(read, now)
}

// Merge takes over what another node knows and returns the domains that changed.
func (s *Set) Merge(other Snapshot, now clock.Millis) []Change {
	before := maps.Clone(s.positions)
	own := s.Snapshot(now)
	if other.Known.Epoch > s.known.Epoch || s.known == (history.Position{}) {
		s.lastEpochKnown, s.heldUntil = s.known, now+min(other.HoldMs, RestoreHoldMs)
	}
	newer, older := own, other
	if own.Known.Before(other.Known) {
		newer, older = other, own
	}
	s.known = newer.Known
	s.positions = make(map[string]history.Position)
	for _, e := range newer.Entries {
		if s.inForce(e, newer.Known, before, now) {
			s.keep(e)
		}
	}
	for _, e := range older.Entries {
		if s.inForce(e, older.Known, before, now) {
			s.keep(e)
		}
	}
	return changes(before, s.positions)
}

// Apply takes over events and returns the domains that changed. A removal counts only if no earlier event can be missing.
func (s *Set) Apply(c Changes) []Change {
	before := maps.Clone(s.positions)
	if s.positions == nil {
		s.positions = make(map[string]history.Position)
	}
	contiguous := s.known != (history.Position{}) && !s.known.Before(c.Base)
	for _, e := range c.Events {
		if !s.known.Before(e.Position) {
			continue // A full read or another node has already shown the state after this event.
		}
		if !e.Ended {
			s.keep(Entry{Domain: e.Domain, Position: e.Position})
		}
		if e.Ended && contiguous {
			delete(s.positions, e.Domain)
		}
		if contiguous {
			s.known = e.Position
		}
	}
	return changes(before, s.positions)
}

// Expire ends the hold of evacuations that a restored publisher no longer lists, and returns the domains that changed.
func (s *Set) Expire(now clock.Millis) []Change {
	if s.holding(now) {
		return nil
	}
	var expired []Change
	for domain, position := range s.positions {
		if position.Epoch < s.known.Epoch {
			expired = append(expired, Change{Entry: Entry{Domain: domain, Position: position}})
			delete(s.positions, domain)
		}
	}
	return expired
}

// inForce reports whether an entry of a snapshot whose known position is from is in force, after known was set to the later one.
// Entries of an earlier epoch are held. Others count if no later full read can have shown their removal.
func (s *Set) inForce(e Entry, from history.Position, before map[string]history.Position, now clock.Millis) bool {
	if e.Epoch < s.known.Epoch {
		_, had := before[e.Domain]
		return s.holding(now) && (had || s.lastEpochKnown.Before(e.Position))
	}
	return from == s.known || !e.Before(s.known)
}

// keep adds an entry. The latest position of a domain counts.
func (s *Set) keep(e Entry) {
	if _, known := s.positions[e.Domain]; !known && len(s.positions) >= MaxDomains {
		return
	}
	s.positions[e.Domain] = history.Latest(s.positions[e.Domain], e.Position)
}

// holding reports whether evacuations of earlier epochs are in force.
func (s *Set) holding(now clock.Millis) bool {
	return now < s.heldUntil
}

// changes returns the difference between two states in alphabetical order.
func changes(before, after map[string]history.Position) []Change {
	var found []Change
	for domain, position := range after {
		if _, ok := before[domain]; !ok {
			found = append(found, Change{Entry: Entry{Domain: domain, Position: position}, Evacuated: true})
		}
	}
	for domain, position := range before {
		if _, ok := after[domain]; !ok {
			found = append(found, Change{Entry: Entry{Domain: domain, Position: position}})
		}
	}
	slices.SortFunc(found, func(a, b Change) int { return cmp.Compare(a.Domain, b.Domain) })
	return found
}
