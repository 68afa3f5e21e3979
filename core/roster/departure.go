package roster

import (
	"maps"
	"slices"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
)

const (
	// maxDepartures is the number of removed entries that are kept.
	maxDepartures = 512
	// outdatedHoldMs is the time for which a removed target is not listed again by a report that is not newer than its last one.
	// It is longer than a publisher keeps an entry that is no longer written, so that what remains listed is alive.
	outdatedHoldMs clock.Millis = 10_000
	// maxCopyAgeMs is the highest age of a copy from which a publisher is restored.
	maxCopyAgeMs clock.Millis = 60_000
)

// departures holds the most recently removed entries, so that peers can learn of them and that they are not taken for live when
// an outdated report lists them again.
type departures struct {
	// removals are the removed entries, the oldest first.
	removals []Change
	// byName holds the latest removal of each target.
	byName map[string]departure
	// droppedTo is the position up to which removals are no longer kept.
	droppedTo history.Position
	// heldFrom is the time at which the publisher was last restored.
	heldFrom clock.Millis
}

type departure struct {
	change Change
	at     clock.Millis
	// listed is true while the publisher lists the target by an outdated report.
	listed bool
}

func newDepartures() *departures {
	return &departures{byName: make(map[string]departure), heldFrom: -outdatedHoldMs}
}

// record stores a removal, once.
func (d *departures) record(c Change, now clock.Millis) {
	if known, removed := d.byName[c.Name]; removed && !known.change.Position().Before(c.Position()) {
		return
	}
	if last := d.byName[c.Name].change.Last; last != nil && (c.Last == nil || last.MayFollow(*c.Last)) {
		c.Last = last
	}
	d.removals = append(d.removals, c)
	d.byName[c.Name] = departure{change: c, at: now}
	excess := len(d.removals) - maxDepartures
	if excess <= 0 {
		return
	}
	for _, dropped := range d.removals[:excess] {
		d.droppedTo = history.Latest(d.droppedTo, dropped.Position())
		if d.byName[dropped.Name].change.Position() == dropped.Position() {
			delete(d.byName, dropped.Name)
		}
	}
	d.removals = slices.Delete(d.removals, 0, excess)
}

// holdFrom records that the publisher was restored, so that it can list targets that have left since its copy was made.
func (d *departures) holdFrom(now clock.Millis) {
	d.heldFrom = now
	maps.DeleteFunc(d.byName, func(_ string, known departure) bool { return now-known.at > maxCopyAgeMs })
}

// outdated reports whether the change lists a removed target by a report that is not newer than its last one.
func (d *departures) outdated(c Change, now clock.Millis) bool {
	known, removed := d.byName[c.Name]
	if !removed || known.change.Last == nil || !d.held(known, now) || c.VM.Report().MayFollow(*known.change.Last) {
		return false
	}
	known.listed = true
	d.repeat(known, c.Position(), now)
	return true
}

// repeat records a removal again at a later position, so that it reaches nodes that may have taken the target for live.
func (d *departures) repeat(known departure, at history.Position, now clock.Millis) {
	if known.change.Position().Before(at) {
		known.change.Epoch, known.change.Revision = at.Epoch, at.Revision
		d.record(known.change, now)
	}
	d.byName[known.change.Name] = known
}

// held reports whether the target's last report still decides.
func (d *departures) held(known departure, now clock.Millis) bool {
	return now < max(known.at, d.heldFrom)+outdatedHoldMs
}

// repeatUnlisted repeats the removal of targets that a restored publisher may have listed by an outdated report and that its list
// now lacks.
func (d *departures) repeatUnlisted(listed map[string]bool, at history.Position, now clock.Millis) {
	for name, known := range d.byName {
		uncertain := known.listed || known.change.Epoch < at.Epoch || now < d.heldFrom+outdatedHoldMs
		if listed[name] || !uncertain {
			continue
		}
		known.listed = known.listed && d.held(known, now)
		d.repeat(known, at, now)
	}
}

// forget drops the last report of a target that is listed again.
func (d *departures) forget(name string) {
	delete(d.byName, name)
}

// since returns the removals after the position, except those of targets that are listed again.
func (d *departures) since(p history.Position, listed func(name string) bool) []Change {
	var changes []Change
	for _, c := range d.removals {
		if p.Before(c.Position()) && !listed(c.Name) {
			changes = append(changes, c)
		}
	}
	return changes
}
