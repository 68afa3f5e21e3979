package config

import (
	"bytes"
	"encoding/json"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
)

const (
	// maxHistoryUpdates bounds the number of differences that are kept per section.
	maxHistoryUpdates = 64
	// maxHistoryBytes bounds the memory of the differences that are kept per section.
	maxHistoryBytes = 64 << 10
)

// Platform is the name of the platform as a source.
const Platform = "platform"

// Source says who served a version and how old its own confirmation of that version was.
type Source struct {
	// Name is Platform or the name of a node.
	Name string
	// AgeMs is the time since the platform confirmed the version to the source; 0 for the platform itself.
	AgeMs clock.Millis
}

// SectionVersion is a section's version at one node.
type SectionVersion struct {
	Name    fleet.SectionName
	Version int64
	// AgeMs is the time since the platform last confirmed the version, or clock.Never.
	AgeMs clock.Millis
}

// Update brings one section from BaseVersion to Version.
type Update struct {
	Name    fleet.SectionName
	Version int64
	// BaseVersion is 0 when Value is the whole section; otherwise Value is a difference made by Diff.
	BaseVersion int64
	Value       []byte
	// Checksum is the xxhash64 of the whole section at Version.
	Checksum uint64
}

// ApplyOutcome says what became of a version that was offered to a store.
type ApplyOutcome string

// The outcomes of offering a version.
const (
	// Applied means that the version is in force now.
	Applied ApplyOutcome = "applied"
	// Confirmed means that the version was in force already.
	Confirmed ApplyOutcome = "confirmed"
	// Outdated means that a higher version is in force.
	Outdated ApplyOutcome = "lower"
	// Rejected means that the value is invalid; the last valid value stays in force.
	Rejected ApplyOutcome = "rejected"
	// Conflict means that the version in force has the same number and a different value.
	Conflict ApplyOutcome = "conflict"
	// UnknownBase means that the difference starts at another version than the one in force.
	UnknownBase ApplyOutcome = "baseUnknown"
	// ChecksumMismatch means that the result has another checksum; the whole section is requested next.
	ChecksumMismatch ApplyOutcome = "mismatch"
)

// ApplyResult describes one offered version.
type ApplyResult struct {
	Outcome ApplyOutcome
	Name    fleet.SectionName
	// Version is the offered version, PreviousVersion the version in force before.
	Version, PreviousVersion int64
	Source                   string
	// Repeated is true when the same rejection or conflict was reported before and need not be logged again.
	Repeated bool
	// Err says why the version was not applied; nil for Applied, Confirmed and Lower.
	Err error
}

// unappliedValue identifies a value that was not applied.
type unappliedValue struct {
	version  int64
	checksum uint64
	err      error
}

// section is the state of one published section.
type section struct {
	version        int64
	value          []byte
	checksum       uint64
	history        []Update
	needsFullValue bool
	rejected       *unappliedValue
	conflict       *unappliedValue

	confirmedAt clock.Millis
	confirmedBy string
}

// Status describes a section to operators.
type Status struct {
	Name     fleet.SectionName `json:"name"`
	Version  int64             `json:"version"`
	Checksum uint64            `json:"checksum"`
	Bytes    int               `json:"bytes"`
	// AgeMs is the time since the platform last confirmed the version, directly or through peers; -1 means never.
	AgeMs           clock.Millis `json:"ageMs"`
	ConfirmedBy     string       `json:"confirmedBy,omitempty"`
	RejectedVersion int64        `json:"rejectedVersion,omitempty"`
	RejectedReason  string       `json:"rejectedReason,omitempty"`
	ConflictVersion int64        `json:"conflictVersion,omitempty"`
}

// Store holds the published sections of one node. It is used by the control goroutine only; the snapshots
// that it yields are immutable.
type Store struct {
	snapshot *fleet.Snapshot
	sections map[fleet.SectionName]*section
}

// New returns a store without any section.
func New() *Store {
	s := &Store{snapshot: &fleet.Snapshot{}, sections: make(map[fleet.SectionName]*section)}
	for _, name := range fleet.SectionNames() {
		s.sections[name] = &section{confirmedAt: clock.Never}
	}
	return s
}

// Snapshot returns the sections in force.
func (s *Store) Snapshot() *fleet.Snapshot {
	return s.snapshot
}

// Apply offers a whole section value. Only a valid value with a higher version is applied.
func (s *Store) Apply(name fleet.SectionName, version int64, value json.RawMessage, source Source, now clock.Millis) ApplyResult {
	return s.install(name, version, value, nil, source, now)
}

// ApplyUpdates offers the updates of a peer's reply and returns one result per section. Consecutive
// differences of a section are joined, so that only the last value is decoded.
func (s *Store) ApplyUpdates(updates []Update, source Source, now clock.Millis) []ApplyResult {
	chains := make(map[fleet.SectionName][]Update)
	for _, u := range updates {
		chains[u.Name] = append(chains[u.Name], u)
	}
	var results []ApplyResult
	for _, name := range fleet.SectionNames() {
		if chain := chains[name]; len(chain) > 0 {
			results = append(results, s.applyChain(name, chain, source, now))
		}
	}
	return results
}

func (s *Store) applyChain(name fleet.SectionName, chain []Update, source Source, now clock.Millis) ApplyResult {
	sec := s.sections[name]
	last := chain[len(chain)-1]
	result := ApplyResult{Name: name, Version: last.Version, PreviousVersion: sec.version, Source: source.Name}
	version, value := sec.version, sec.value
	var steps []Update
	for _, u := range chain {
		if u.BaseVersion == 0 {
			if Checksum(u.Value) != u.Checksum {
				return result.withOutcome(ChecksumMismatch, Error.New("section %s: the value has another checksum than announced", name))
			}
			sec.needsFullValue = false
			version, value, steps = u.Version, u.Value, nil
			continue
		}
		if u.Version <= version {
			continue
		}
		if u.BaseVersion != version {
			return result.withOutcome(UnknownBase, Error.New("section %s: the difference starts at version %d, not at %d",
				name, u.BaseVersion, version))
		}
		patched, err := Patch(value, u.Value)
		if err == nil && Checksum(patched) != u.Checksum {
			err = Error.New("the result has another checksum than announced")
		}
		if err != nil {
			sec.needsFullValue = true
			return result.withOutcome(ChecksumMismatch, Error.New("section %s, version %d: %v", name, u.Version, err))
		}
		version, value, steps = u.Version, patched, append(steps, u)
	}
	if last.Version < sec.version {
		return result.withOutcome(Outdated, nil)
	}
	return s.install(name, version, value, steps, source, now)
}

// install puts a whole value into force. steps lead from the version in force to the new one, if known.
func (s *Store) install(
	name fleet.SectionName, version int64, value []byte, steps []Update, source Source, now clock.Millis,
) ApplyResult {
	result := ApplyResult{Name: name, Version: version, Source: source.Name}
	sec, ok := s.sections[name]
	if !ok {
		return result.withOutcome(Rejected, Error.New("unknown section %q", name))
	}
	result.PreviousVersion = sec.version
	if version < sec.version {
		return result.withOutcome(Outdated, nil)
	}
	compact, err := compactJSON(value)
	sum := Checksum(compact)
	if version == sec.version && version > 0 {
		return s.applySameVersion(sec, result, sum, source, now)
	}
	var next *fleet.Snapshot
	if err == nil {
		next, err = s.snapshot.WithSection(name, version, compact)
	}
	if err == nil && version < 1 {
		err = Error.New("version must be at least 1, got %d", version)
	}
	if err != nil {
		result.Repeated = recordUnapplied(&sec.rejected, version, sum, err)
		return result.withOutcome(Rejected, Error.New("section %s, version %d: %v", name, version, err))
	}
	sec.replaceValue(Update{Name: name, Version: version, Value: compact, Checksum: sum}, steps)
	s.snapshot = next
	sec.confirm(source, now)
	result.Outcome = Applied
	return result
}

// applySameVersion handles an offer of the version that is in force.
func (s *Store) applySameVersion(sec *section, result ApplyResult, sum uint64, source Source, now clock.Millis) ApplyResult {
	if sum == sec.checksum {
		sec.confirm(source, now)
		result.Outcome = Confirmed
		return result
	}
	err := Error.New("section %s: version %d was published with two different values; publish a higher version",
		result.Name, result.Version)
	result.Repeated = recordUnapplied(&sec.conflict, result.Version, sum, err)
	return result.withOutcome(Conflict, err)
}

// ConfirmPlatform records that the platform has nothing newer than version, the answer 304 to a watch.
func (s *Store) ConfirmPlatform(name fleet.SectionName, version int64, now clock.Millis) {
	if sec, ok := s.sections[name]; ok && version > 0 && version == sec.version {
		sec.confirm(Source{Name: Platform}, now)
	}
}

// ConfirmPeer records that a peer has the versions. Only equal versions count, with the age that they have
// at the peer: nodes that are cut off together would otherwise show each other an age of 0.
func (s *Store) ConfirmPeer(peer string, versions []SectionVersion, now clock.Millis) {
	for _, v := range versions {
		if sec, ok := s.sections[v.Name]; ok && v.Version > 0 && v.Version == sec.version {
			sec.confirm(Source{Name: peer, AgeMs: v.AgeMs}, now)
		}
	}
}

// Versions returns the versions in force. A version that was rejected is never among them.
func (s *Store) Versions(now clock.Millis) []SectionVersion {
	versions := make([]SectionVersion, 0, len(s.sections))
	for _, name := range fleet.SectionNames() {
		sec := s.sections[name]
		versions = append(versions, SectionVersion{Name: name, Version: sec.version, AgeMs: sec.age(now)})
	}
	return versions
}

// RequestVersions returns the versions to put into a request to a peer: 0 asks for the whole section.
func (s *Store) RequestVersions(now clock.Millis) []SectionVersion {
	versions := s.Versions(now)
	for i := range versions {
		if s.sections[versions[i].Name].needsFullValue {
			versions[i].Version = 0
		}
	}
	return versions
}

// WatchVersion returns the version after which to watch the platform. It counts a rejected version, since
// the platform would otherwise return the same invalid value at once on each call.
func (s *Store) WatchVersion(name fleet.SectionName) int64 {
	sec := s.sections[name]
	if sec.rejected != nil {
		return max(sec.version, sec.rejected.version)
	}
	return sec.version
}

// UpdatesFor returns what a peer with the versions lacks: differences where its version is remembered,
// whole sections otherwise. It returns nil if the peer lacks nothing.
func (s *Store) UpdatesFor(peer []SectionVersion) []Update {
	have := make(map[fleet.SectionName]int64, len(peer))
	for _, v := range peer {
		have[v.Name] = v.Version
	}
	var updates []Update
	for _, name := range fleet.SectionNames() {
		updates = append(updates, s.sections[name].updatesSince(name, have[name])...)
	}
	return updates
}

// Status describes the sections to operators.
func (s *Store) Status(now clock.Millis) []Status {
	var all []Status
	for _, name := range fleet.SectionNames() {
		sec := s.sections[name]
		status := Status{Name: name, Version: sec.version, Checksum: sec.checksum, Bytes: len(sec.value),
			AgeMs: sec.age(now), ConfirmedBy: sec.confirmedBy}
		if status.AgeMs == clock.Never {
			status.AgeMs = -1
		}
		if sec.rejected != nil {
			status.RejectedVersion, status.RejectedReason = sec.rejected.version, sec.rejected.err.Error()
		}
		if sec.conflict != nil {
			status.ConflictVersion = sec.conflict.version
		}
		all = append(all, status)
	}
	return all
}

func (r ApplyResult) withOutcome(outcome ApplyOutcome, err error) ApplyResult {
	r.Outcome, r.Err = outcome, err
	return r
}

// recordUnapplied stores a refusal and reports whether the same one was stored already.
func recordUnapplied(slot **unappliedValue, version int64, sum uint64, err error) bool {
	if *slot != nil && (*slot).version == version && (*slot).checksum == sum {
		return true
	}
	*slot = &unappliedValue{version: version, checksum: sum, err: err}
	return false
}

// replaceValue replaces the value and extends the history by the way to it.
func (c *section) replaceValue(whole Update, steps []Update) {
	if len(steps) == 0 && c.version > 0 {
		step := whole
		step.BaseVersion = c.version
		var err error
		if step.Value, err = Diff(c.value, whole.Value); err == nil {
			steps = []Update{step}
		}
	}
	if len(steps) == 0 || steps[0].BaseVersion != c.version {
		c.history = nil
	}
	c.history = append(c.history, steps...)
	c.trimHistory(len(whole.Value))
	c.version, c.value, c.checksum = whole.Version, whole.Value, whole.Checksum
	c.needsFullValue, c.conflict = false, nil
	if c.rejected != nil && c.rejected.version <= c.version {
		c.rejected = nil
	}
}

// trimHistory drops the oldest steps. A history of more than half the section's size is of no use, since the
// whole section costs little more and needs no chain of patches.
func (c *section) trimHistory(size int) {
	total, first := 0, len(c.history)
	for first > 0 && len(c.history)-first < maxHistoryUpdates {
		total += len(c.history[first-1].Value)
		if total > min(maxHistoryBytes, size/2) {
			break
		}
		first--
	}
	c.history = append([]Update(nil), c.history[first:]...)
}

// updatesSince returns the way from a version to the one in force.
func (c *section) updatesSince(name fleet.SectionName, version int64) []Update {
	if version >= c.version {
		return nil
	}
	for i, step := range c.history {
		if step.BaseVersion == version {
			return c.history[i:]
		}
	}
	return []Update{{Name: name, Version: c.version, Value: c.value, Checksum: c.checksum}}
}

func (c *section) confirm(source Source, now clock.Millis) {
	if source.AgeMs == clock.Never {
		return
	}
	at := now - max(0, source.AgeMs)
	if c.confirmedAt == clock.Never || at >= c.confirmedAt {
		c.confirmedAt, c.confirmedBy = at, source.Name
	}
}

func (c *section) age(now clock.Millis) clock.Millis {
	if c.confirmedAt == clock.Never {
		return clock.Never
	}
	return max(0, now-c.confirmedAt)
}

// compactJSON removes insignificant white space, so that checksums do not depend on a source's formatting.
func compactJSON(value []byte) ([]byte, error) {
	if len(value) > MaxValueBytes {
		return nil, Error.New("value has %d bytes, more than %d", len(value), MaxValueBytes)
	}
	var buffer bytes.Buffer
	if err := json.Compact(&buffer, value); err != nil {
		return value, Error.Wrap(err)
	}
	return buffer.Bytes(), nil
}
