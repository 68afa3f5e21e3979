package evacuation_test

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/evacuation"
	"coltsfootusher.example/core/history"
)

func at(epoch, revision int64) history.Position {
	return history.Position{Epoch: epoch, Revision: revision}
}

func entry(domain string, epoch, revision int64) evacuation.Entry {
	return evacuation.Entry{Domain: domain, Position: at(epoch, revision)}
}

func snapshot(known history.Position, entries ...evacuation.Entry) evacuation.Snapshot {
	return evacuation.Snapshot{Known: known, Entries: entries}
}

// publisher is a model of the operators' store: its keys, its history of the current epoch, and a copy.
type publisher struct {
	epoch, revision int64
	keys            map[string]int64
	events          []evacuation.Event
	copyOf          map[string]int64
	copyRevision    int64
}

func newPublisher() *publisher {
	return &publisher{epoch: 1, revision: 1, keys: map[string]int64{}, copyOf: map[string]int64{}, copyRevision: 1}
}

func (p *publisher) toggle(domain string) {
	p.revision++
	_, ended := p.keys[domain]
	if delete(p.keys, domain); !ended {
		p.keys[domain] = p.revision
	}
	p.events = append(p.events, evacuation.Event{Domain: domain, Position: at(p.epoch, p.revision), Ended: ended})
}

func (p *publisher) keepCopy() {
	p.copyOf, p.copyRevision = make(map[string]int64), p.revision
	for domain, revision := range p.keys {
		p.copyOf[domain] = revision
	}
}

func (p *publisher) restore() {
	p.epoch, p.revision, p.events = p.epoch+1, p.copyRevision, nil
	p.keys = make(map[string]int64)
	for domain, revision := range p.copyOf {
		p.keys[domain] = revision
	}
}

func (p *publisher) read() evacuation.Snapshot {
	read := snapshot(at(p.epoch, p.revision))
	for domain, revision := range p.keys {
		read.Entries = append(read.Entries, entry(domain, p.epoch, revision))
	}
	return read
}

func (p *publisher) domains() []string {
	var domains []string
	for domain := range p.keys {
		domains = append(domains, domain)
	}
	slices.Sort(domains)
	return domains
}

// Load: three nodes that read, watch and exchange sets, whose messages are delayed, overtaken and repeated, over 60 steps with
// changes of three domains and restores of the publisher. Guards against nodes that disagree for good, and against a read after
// which an evacuation is missing.
func TestSetsConvergeWithDelayedMessagesAndRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPublisher()
		sets := make([]evacuation.Set, 3)
		var sent []evacuation.Snapshot
		now := clock.Millis(0)
		for range 60 {
			now += clock.Millis(rapid.IntRange(0, 300).Draw(t, "ms"))
			s := &sets[rapid.IntRange(0, len(sets)-1).Draw(t, "node")]
			switch rapid.IntRange(0, 12).Draw(t, "step") {
			case 0, 1, 2, 3:
				p.toggle(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
			case 4, 5:
				s.ApplyRead(p.read(), now)
				checkSameEpoch(t, s, p)
			case 6, 7:
				watch(s, p)
			case 8, 9, 10:
				if len(sent) > 0 {
					s.Merge(rapid.SampledFrom(sent).Draw(t, "message"), now)
				}
			case 11:
				p.keepCopy()
			case 12:
				if rapid.IntRange(0, 4).Draw(t, "restore") == 0 {
					p.restore()
				}
			}
			s.Expire(now)
			sent = append(sent, s.Snapshot(now))
		}
		sets[0].ApplyRead(p.read(), now)
		for _, step := range []clock.Millis{0, evacuation.RestoreHoldMs} {
			now += step
			for i := range sets {
				for j := range sets {
					sets[i].Merge(sets[j].Snapshot(now), now)
				}
				sets[i].Expire(now)
			}
		}
		for i := range sets {
			assert.DeepEqual(t, append([]string(nil), sets[i].Domains()...), p.domains())
		}
	})
}

// watch applies the events after the known position if that lies in the current epoch.
func watch(s *evacuation.Set, p *publisher) {
	base := s.Known()
	if base.Epoch != p.epoch {
		return
	}
	c := evacuation.Changes{Base: base}
	for _, e := range p.events {
		if base.Before(e.Position) {
			c.Events = append(c.Events, e)
		}
	}
	s.Apply(c)
}

// checkSameEpoch checks that the set has all evacuations that the publisher has after a read.
func checkSameEpoch(t *rapid.T, s *evacuation.Set, p *publisher) {
	for _, domain := range p.domains() {
		assert.Assert(t, slices.Contains(s.Domains(), domain), "%s is missing after a read", domain)
	}
}

// Load: up to six sets of one epoch, merged in two orders. Guards against a result that depends on the order of the messages.
func TestMergeIsIndependentOfTheOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := newPublisher()
		var sent []evacuation.Snapshot
		for range rapid.IntRange(1, 6).Draw(t, "sets") {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				p.toggle(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "domain"))
			}
			sent = append(sent, p.read())
		}
		other := rapid.Permutation(sent).Draw(t, "order")
		var a, b evacuation.Set
		for i := range sent {
			a.Merge(sent[i], 0)
			b.Merge(other[i], 0)
			b.Merge(other[0], 0)
		}
		assert.DeepEqual(t, a.Snapshot(0), b.Snapshot(0))
		assert.DeepEqual(t, append([]string(nil), a.Domains()...), p.domains())
	})
}

// Load: one domain evacuated just before the publisher is restored from an older copy, which lacks it. Guards against requests to
// the domain before operators have written their keys again, and against an evacuation that never ends.
func TestEvacuationMissingInTheCopyIsHeld(t *testing.T) {
	var s, late evacuation.Set
	s.ApplyRead(snapshot(at(1, 27), entry("a", 1, 26)), 0)
	assert.Equal(t, len(s.ApplyRead(snapshot(at(2, 14)), 1000)), 0)
	assert.DeepEqual(t, s.Domains(), []string{"a"})
	// A node that knew nothing learns of the held evacuation, for the rest of the time.
	late.Merge(s.Snapshot(3000), 3000)
	assert.DeepEqual(t, late.Domains(), []string{"a"})
	assert.Equal(t, len(s.Expire(1000+evacuation.RestoreHoldMs-1)), 0)
	assert.Equal(t, len(s.Expire(1000+evacuation.RestoreHoldMs)), 1)
	assert.Equal(t, len(late.Expire(1000+evacuation.RestoreHoldMs)), 1)
	// A node that hasn't heard of the restore must not bring the evacuation back, not even to one that never knew it.
	for _, set := range []*evacuation.Set{&s, &late} {
		set.Merge(snapshot(at(1, 27), entry("a", 1, 26)), 1000+evacuation.RestoreHoldMs)
		assert.Equal(t, len(set.Domains()), 0)
	}
}

// Load: an evacuation that ended shortly before a restore, and a node that has missed its end. Guards against a hold of an
// evacuation that operators had withdrawn.
func TestWithdrawnEvacuationIsNotHeld(t *testing.T) {
	var s evacuation.Set
	s.ApplyRead(snapshot(at(1, 30)), 0)
	s.ApplyRead(snapshot(at(2, 14)), 1000)
	s.Merge(snapshot(at(1, 27), entry("a", 1, 26)), 1001)
	assert.Equal(t, len(s.Domains()), 0)
	// One that is later than all that the node had known may have been in force.
	s.Merge(snapshot(at(1, 32), entry("a", 1, 31)), 1002)
	assert.DeepEqual(t, s.Domains(), []string{"a"})
}

// Load: the domain's key is written again within the hold. Guards against an evacuation that lapses with the hold although
// operators have confirmed it.
func TestEvacuationWrittenAgainAfterARestoreStays(t *testing.T) {
	var s evacuation.Set
	s.ApplyRead(snapshot(at(1, 27), entry("a", 1, 26)), 0)
	s.ApplyRead(snapshot(at(2, 14)), 1000)
	s.Apply(evacuation.Changes{Base: at(2, 14), Events: []evacuation.Event{{Domain: "a", Position: at(2, 15)}}})
	assert.Equal(t, len(s.Expire(1000+evacuation.RestoreHoldMs)), 0)
	assert.DeepEqual(t, s.Domains(), []string{"a"})
}

// Load: two nodes, one of which is cut off while an evacuation is withdrawn and another one begins. Guards against a stale node
// that brings a withdrawn evacuation back, and against one that never learns of the withdrawal because it missed the event.
func TestMissedRemovalIsLearnedFromALaterSet(t *testing.T) {
	var connected, cutOff evacuation.Set
	old := snapshot(at(1, 10), entry("a", 1, 9))
	connected.ApplyRead(old, 0)
	cutOff.ApplyRead(old, 0)
	changes := connected.Apply(evacuation.Changes{Base: at(1, 10), Events: []evacuation.Event{
		{Domain: "a", Position: at(1, 12), Ended: true}, {Domain: "b", Position: at(1, 13)},
	}})
	assert.Equal(t, len(changes), 2)
	connected.Merge(cutOff.Snapshot(0), 0)
	assert.DeepEqual(t, connected.Domains(), []string{"b"})
	cutOff.Merge(connected.Snapshot(0), 0)
	assert.DeepEqual(t, cutOff.Domains(), []string{"b"})
}

// Load: events of a watch that began after a gap, and late ones. Guards against a removal that counts although the evacuation was
// renewed in the gap, against a new evacuation that waits for a full read, and against events from before a read.
func TestEventsAfterAGapOnlyAddDomains(t *testing.T) {
	var s evacuation.Set
	s.ApplyRead(snapshot(at(1, 10), entry("a", 1, 9)), 0)
	s.Apply(evacuation.Changes{Base: at(1, 20), Events: []evacuation.Event{
		{Domain: "a", Position: at(1, 21), Ended: true}, {Domain: "b", Position: at(1, 22)},
	}})
	// Another node's set that is complete up to the gap doesn't end it.
	s.Merge(snapshot(at(1, 15), entry("a", 1, 9)), 0)
	assert.DeepEqual(t, s.Domains(), []string{"a", "b"})
	assert.Equal(t, s.Known(), at(1, 15))
	s.ApplyRead(snapshot(at(1, 30), entry("b", 1, 22)), 0)
	s.Apply(evacuation.Changes{Base: at(1, 10), Events: []evacuation.Event{
		{Domain: "a", Position: at(1, 25)}, {Domain: "b", Position: at(1, 26), Ended: true},
	}})
	assert.DeepEqual(t, s.Domains(), []string{"b"})
}

// Guards against a message from another node with values that no node sends.
func TestMalformedSnapshotsAreRejected(t *testing.T) {
	for _, s := range []evacuation.Snapshot{
		snapshot(at(-1, 1)), snapshot(at(1, -1)), {HoldMs: -1}, {AgeMs: -2}, snapshot(at(1, 1), entry("", 1, 1)),
		snapshot(at(1, 1), entry("a", -1, 1)), snapshot(at(1, 1), make([]evacuation.Entry, evacuation.MaxDomains+1)...),
	} {
		assert.Assert(t, s.Validate() != nil, "%+v", s)
	}
	assert.NilError(t, snapshot(at(1, 9), entry("a", 1, 3)).Validate())
}
