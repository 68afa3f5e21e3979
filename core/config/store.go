package config

import (
	"bytes"
	"encoding/json"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
)

const (
	// maxHistoryUpdates bounds the number of diffs that are kept per section.
	maxHistoryUpdates = 64
	// maxHistoryBytes bounds the total size of the diffs that are kept per section.
	maxHistoryBytes = 64 << 10
)

// Platform is the source name of the platform, the service that stores the published sections.
const Platform = "platform"

// Source identifies the sender of a version and the age of the sender's own confirmation of that version.
type Source struct {
	// Name is Platform or the name of a node.
	Name string
	// AgeMs is the time since the platform confirmed the version to the source; 0 for the platform itself.
	AgeMs clock.Millis
}

// SectionVersion is the version of a section that a node has in force.
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
	// BaseVersion is 0 if Value is the full section; otherwise Value is a diff against BaseVersion, made by Diff.
	BaseVersion int64
	Value       []byte
	// Checksum is the xxhash64 of the full section at Version.
	Checksum uint64
}

// ApplyOutcome is the result of offering a version to a store.
type ApplyOutcome string

// The outcomes of offering a version.
const (
	// Applied means that the offered version replaced the previous one.
	Applied ApplyOutcome = "applied"
	// Confirmed means that the same version with the same value was already in force.
	Confirmed ApplyOutcome = "confirmed"
	// Outdated means that a higher version is already in force.
	Outdated ApplyOutcome = "lower"
	// Rejected means that the value is invalid; the last valid value stays in force.
	Rejected ApplyOutcome = "rejected"
	// Conflict means that the version in force has the same number but a different value.
	Conflict ApplyOutcome = "conflict"
	// UnknownBase means that the diff is based on a version other than the one in force.
	UnknownBase ApplyOutcome = "baseUnknown"
	// ChecksumMismatch means that the checksum of the value is wrong. After a failed diff, the full section is requested.
	ChecksumMismatch ApplyOutcome = "mismatch"
)

// ApplyResult describes what happened to an offered version.
type ApplyResult struct {
	Outcome ApplyOutcome
	Name    fleet.SectionName
	// Version is the offered version, PreviousVersion the version that was in force when it was offered.
	Version, PreviousVersion int64
	Source                   string
	// Repeated is true if the same rejection or conflict was reported before and need not be logged again.
	Repeated bool
	// Err says why the version was not applied; nil for Applied, Confirmed and Outdated.
	Err error
}

// unappliedValue identifies a rejected or conflicting value, so that it is reported only once.
type unappliedValue struct {
	version  int64
	checksum uint64
	err      error
}

// section is the state of one published section.
type section struct {
	version  int64
	value    []byte
	checksum uint64
	// history holds consecutive diffs that lead to version.
	history []Update
	// needsFullValue is true after a diff could not be applied, until a full value is received.
	needsFullValue bool
	rejected       *unappliedValue
	conflict       *unappliedValue

	confirmedAt clock.Millis
	confirmedBy string
}

// Status describes a section in the status report.
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

// Store holds the published sections of one node. Only the control goroutine may use it; the snapshots that it
// returns are immutable and may be shared.
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

// Snapshot returns the versions in force of all sections.
func (s *Store) Snapshot() *fleet.Snapshot {
	return s.snapshot
}

// Apply offers a full section value. It is applied only if it is valid and its version is higher than the one in force.
func (s *Store) Apply(
	name fleet.SectionName, version int64, value json.RawMessage, source Source, now clock.Millis,
) ApplyResult {
	return s.install(name, version, value, nil, source, now)
}

// ApplyUpdates offers the updates from a peer's reply and returns one result per section. Consecutive diffs of a
// section are applied together, so that only the final value is decoded.
func (s *Store) ApplyUpdates(updates []Update, source Source, now clock.Millis) []ApplyResult {
	chains := make(map[fleet.SectionName][]Update)
	for _, update := range updates {
		chains[update.Name] = append(chains[update.Name], update)
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
	var diffs []Update
	for _, update := range chain {
		if update.BaseVersion == 0 {
			if Checksum(update.Value) != update.Checksum {
				return result.withOutcome(ChecksumMismatch,
					Error.New("section %s: checksum of the value does not match the update", name))
			}
			sec.needsFullValue = false
			version, value, diffs = update.Version, update.Value, nil
			continue
		}
		if update.Version <= version {
			continue
		}
		if update.BaseVersion != version {
			return result.withOutcome(UnknownBase, Error.New("section %s: diff is based on version %d, expected %d",
				name, update.BaseVersion, version))
		}
		patched, err := Patch(value, update.Value)
		if err == nil && Checksum(patched) != update.Checksum {
			err = Error.New("checksum of the patched value does not match the update")
		}
		if err != nil {
			sec.needsFullValue = true
			return result.withOutcome(ChecksumMismatch, Error.New("section %s, version %d: %v", name, update.Version, err))
		}
		version, value, diffs = update.Version, patched, append(diffs, update)
	}
	if last.Version < sec.version {
		return result.withOutcome(Outdated, nil)
	}
	return s.install(name, version, value, diffs, source, now)
}

// install validates a full value and puts it into force. diffs lead from the version in force to the new one; they
// are nil if unknown.
func (s *Store) install(
	name fleet.SectionName, version int64, value []byte, diffs []Update, source Source, now clock.Millis,
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
	checksum := Checksum(compact)
	if version == sec.version && version > 0 {
		return s.applySameVersion(sec, result, checksum, source, now)
	}
	var next *fleet.Snapshot
	if err == nil {
		next, err = s.snapshot.WithSection(name, version, compact)
	}
	if err == nil && version < 1 {
		err = Error.New("version must be at least 1, got %d", version)
	}
	if err != nil {
		result.Repeated = recordUnapplied(&sec.rejected, version, checksum, err)
		return result.withOutcome(Rejected, Error.New("section %s, version %d: %v", name, version, err))
	}
	sec.replaceValue(Update{Name: name, Version: version, Value: compact, Checksum: checksum}, diffs)
	s.snapshot = next
	sec.confirm(source, now)
	result.Outcome = Applied
	return result
}

// applySameVersion handles an offer of the version that is already in force.
func (s *Store) applySameVersion(sec *section, result ApplyResult, checksum uint64, source Source, now clock.Millis) ApplyResult {
	if checksum == sec.checksum {
		sec.confirm(source, now)
		result.Outcome = Confirmed
		return result
	}
	err := Error.New("section %s: version %d was published with two different values; publish a higher version",
		result.Name, result.Version)
	result.Repeated = recordUnapplied(&sec.conflict, result.Version, checksum, err)
	return result.withOutcome(Conflict, err)
}

// ConfirmPlatform records that the platform has nothing newer than version: it answered a watch with status 304.
func (s *Store) ConfirmPlatform(name fleet.SectionName, version int64, now clock.Millis) {
	if sec, ok := s.sections[name]; ok && version > 0 && version == sec.version {
		sec.confirm(Source{Name: Platform}, now)
	}
}

// ConfirmPeer records that a peer has the given versions. A version that equals the local one is confirmed with the
// age that it has at the peer. Otherwise, nodes that lost the platform together would keep reporting an age of 0 to
// each other.
func (s *Store) ConfirmPeer(peer string, versions []SectionVersion, now clock.Millis) {
	for _, v := range versions {
		if sec, ok := s.sections[v.Name]; ok && v.Version > 0 && v.Version == sec.version {
			sec.confirm(Source{Name: peer, AgeMs: v.AgeMs}, now)
		}
	}
}

// Versions returns the versions in force, which never include a rejected version.
func (s *Store) Versions(now clock.Millis) []SectionVersion {
	versions := make([]SectionVersion, 0, len(s.sections))
	for _, name := range fleet.SectionNames() {
		sec := s.sections[name]
		versions = append(versions, SectionVersion{Name: name, Version: sec.version, AgeMs: sec.age(now)})
	}
	return versions
}

// RequestVersions returns the versions to send in a request to a peer. Version 0 requests the full section.
func (s *Store) RequestVersions(now clock.Millis) []SectionVersion {
	versions := s.Versions(now)
	for i := range versions {
		if s.sections[versions[i].Name].needsFullValue {
			versions[i].Version = 0
		}
	}
	return versions
}

// WatchVersion returns the version to pass to a platform watch, which returns only newer ones. It takes a rejected
// version into account; otherwise, the platform would answer each watch at once with the same invalid value.
func (s *Store) WatchVersion(name fleet.SectionName) int64 {
	sec := s.sections[name]
	if sec.rejected != nil {
		return max(sec.version, sec.rejected.version)
	}
	return sec.version
}

// UpdatesFor returns the updates for a peer with the given versions: diffs if the history covers the peer's version,
// full sections otherwise. It returns nil if the peer is up to date.
func (s *Store) UpdatesFor(versions []SectionVersion) []Update {
	peerVersions := make(map[fleet.SectionName]int64, len(versions))
	for _, v := range versions {
		peerVersions[v.Name] = v.Version
	}
	var updates []Update
	for _, name := range fleet.SectionNames() {
		updates = append(updates, s.sections[name].updatesSince(name, peerVersions[name])...)
	}
	return updates
}

// Status returns the state of all sections for the status report.
func (s *Store) Status(now clock.Millis) []Status {
	var statuses []Status
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
		statuses = append(statuses, status)
	}
	return statuses
}

func (r ApplyResult) withOutcome(outcome ApplyOutcome, err error) ApplyResult {
	r.Outcome, r.Err = outcome, err
	return r
}

// recordUnapplied stores a rejected or conflicting value and reports whether the same one was already stored.
func recordUnapplied(stored **unappliedValue, version int64, sum uint64, err error) bool {
	if *stored != nil && (*stored).version == version && (*stored).checksum == sum {
		return true
	}
	*stored = &unappliedValue{version: version, checksum: sum, err: err}
	return false
}

// replaceValue puts a value into force and appends the diffs that lead to it to the history.
func (sec *section) replaceValue(full Update, diffs []Update) {
	if len(diffs) == 0 && sec.version > 0 {
		diff := full
		diff.BaseVersion = sec.version
		var err error
		if diff.Value, err = Diff(sec.value, full.Value); err == nil {
			diffs = []Update{diff}
		}
	}
	if len(diffs) == 0 || diffs[0].BaseVersion != sec.version {
		sec.history = nil
	}
	sec.history = append(sec.history, diffs...)
	sec.trimHistory(len(full.Value))
	sec.version, sec.value, sec.checksum = full.Version, full.Value, full.Checksum
	sec.needsFullValue, sec.conflict = false, nil
	if sec.rejected != nil && sec.rejected.version <= sec.version {
		sec.rejected = nil
	}
}

// trimHistory drops the oldest diffs. It limits their total size to half of the section's, because the full section
// costs little more than that and needs no chain of patches.
func (sec *section) trimHistory(valueBytes int) {
	historyBytes, first := 0, len(sec.history)
	for first > 0 && len(sec.history)-first < maxHistoryUpdates {
		historyBytes += len(sec.history[first-1].Value)
		if historyBytes > min(maxHistoryBytes, valueBytes/2) {
			break
		}
		first--
	}
	sec.history = append([]Update(nil), sec.history[first:]...)
}

// updatesSince returns the updates that lead from a version to the one in force.
func (sec *section) updatesSince(name fleet.SectionName, version int64) []Update {
	if version >= sec.version {
		return nil
	}
	for i, diff := range sec.history {
		if diff.BaseVersion == version {
			return sec.history[i:]
		}
	}
	return []Update{{Name: name, Version: sec.version, Value: sec.value, Checksum: sec.checksum}}
}

func (sec *section) confirm(source Source, now clock.Millis) {
	if source.AgeMs == clock.Never {
		return
	}
	at := now - max(0, source.AgeMs)
	if sec.confirmedAt == clock.Never || at >= sec.confirmedAt {
		sec.confirmedAt, sec.confirmedBy = at, source.Name
	}
}

func (sec *section) age(now clock.Millis) clock.Millis {
	if sec.confirmedAt == clock.Never {
		return clock.Never
	}
	return max(0, now-sec.confirmedAt)
}

// compactJSON removes insignificant white space, so that checksums do not depend on the formatting of the source.
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
