package config

import (
	"bytes"
	"encoding/json"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
)

const (
	// historySteps bounds the number of differences that are kept per section.
	historySteps = 64
	// historyBytes bounds the memory of the differences that are kept per section.
	historyBytes = 64 << 10
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

// Version is a section's version at one node.
type Version struct {
	Name    fleet.Name
	Version int64
	// AgeMs is the time since the platform last confirmed the version, or clock.Never.
	AgeMs clock.Millis
}

// Update brings one section from BaseVersion to Version.
type Update struct {
	Name    fleet.Name
	Version int64
	// BaseVersion is 0 when Value is the whole section; otherwise Value is a difference made by Diff.
	BaseVersion int64
	Value       []byte
	// Checksum is the xxhash64 of the whole section at Version.
	Checksum uint64
}

// Outcome says what became of a version that was offered to a store.
type Outcome string

// The outcomes of offering a version.
const (
	// Applied means that the version is in force now.
	Applied Outcome = "applied"
	// Confirmed means that the version was in force already.
	Confirmed Outcome = "confirmed"
	// Lower means that a higher version is in force.
	Lower Outcome = "lower"
	// Rejected means that the value is invalid; the last valid value stays in force.
	Rejected Outcome = "rejected"
	// Conflict means that the version in force has the same number and a different value.
	Conflict Outcome = "conflict"
	// BaseUnknown means that the difference starts at another version than the one in force.
	BaseUnknown Outcome = "baseUnknown"
	// Mismatch means that the result has another checksum; the whole section is requested next.
	Mismatch Outcome = "mismatch"
)

// Result describes one offered version.
type Result struct {
	Outcome Outcome
	Name    fleet.Name
	// Version is the offered version, Before the version in force before.
	Version, Before int64
	Source          string
	// Repeated is true when the same rejection or conflict was reported before and need not be logged again.
	Repeated bool
	// Err says why the version was not applied; nil for Applied, Confirmed and Lower.
	Err error
}

// refusal identifies a value that was not applied.
type refusal struct {
	version  int64
	checksum uint64
	err      error
}

// section is the state of one published section.
type section struct {
	version   int64
	value     []byte
	checksum  uint64
	steps     []Update
	wantWhole bool
	rejected  *refusal
	conflict  *refusal

	confirmedAt clock.Millis
	confirmedBy string
}

// Status describes a section to operators.
type Status struct {
	Name     fleet.Name `json:"name"`
	Version  int64      `json:"version"`
	Checksum uint64     `json:"checksum"`
	Bytes    int        `json:"bytes"`
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
	sections map[fleet.Name]*section
}

// New returns a store without any section.
func New() *Store {
	s := &Store{snapshot: &fleet.Snapshot{}, sections: make(map[fleet.Name]*section)}
	for _, name := range fleet.Names() {
		s.sections[name] = &section{confirmedAt: clock.Never}
	}
	return s
}

// Snapshot returns the sections in force.
func (s *Store) Snapshot() *fleet.Snapshot {
	return s.snapshot
}

// Apply offers a whole section value. Only a valid value with a higher version is applied.
func (s *Store) Apply(name fleet.Name, version int64, value json.RawMessage, source Source, now clock.Millis) Result {
	return s.install(name, version, value, nil, source, now)
}

// ApplyUpdates offers the updates of a peer's reply and returns one result per section. Consecutive
// differences of a section are joined, so that only the last value is decoded.
func (s *Store) ApplyUpdates(updates []Update, source Source, now clock.Millis) []Result {
	chains := make(map[fleet.Name][]Update)
	for _, u := range updates {
		chains[u.Name] = append(chains[u.Name], u)
	}
	var results []Result
	for _, name := range fleet.Names() {
		if chain := chains[name]; len(chain) > 0 {
			results = append(results, s.applyChain(name, chain, source, now))
		}
	}
	return results
}

func (s *Store) applyChain(name fleet.Name, chain []Update, source Source, now clock.Millis) Result {
	sec := s.sections[name]
	last := chain[len(chain)-1]
	result := Result{Name: name, Version: last.Version, Before: sec.version, Source: source.Name}
	version, value := sec.version, sec.value
	var steps []Update
	for _, u := range chain {
		if u.BaseVersion == 0 {
			if Checksum(u.Value) != u.Checksum {
				return result.fail(Mismatch, Error.New("section %s: the value has another checksum than announced", name))
			}
			sec.wantWhole = false
			version, value, steps = u.Version, u.Value, nil
			continue
		}
		if u.Version <= version {
			continue
		}
		if u.BaseVersion != version {
			return result.fail(BaseUnknown, Error.New("section %s: the difference starts at version %d, not at %d",
				name, u.BaseVersion, version))
		}
		patched, err := Patch(value, u.Value)
		if err == nil && Checksum(patched) != u.Checksum {
			err = Error.New("the result has another checksum than announced")
		}
		if err != nil {
			sec.wantWhole = true
			return result.fail(Mismatch, Error.New("section %s, version %d: %v", name, u.Version, err))
		}
		version, value, steps = u.Version, patched, append(steps, u)
	}
	if last.Version < sec.version {
		return result.fail(Lower, nil)
	}
	return s.install(name, version, value, steps, source, now)
}

// install puts a whole value into force. steps lead from the version in force to the new one, if known.
func (s *Store) install(name fleet.Name, version int64, value []byte, steps []Update, source Source, now clock.Millis) Result {
	result := Result{Name: name, Version: version, Source: source.Name}
	sec, ok := s.sections[name]
	if !ok {
		return result.fail(Rejected, Error.New("unknown section %q", name))
	}
	result.Before = sec.version
	if version < sec.version {
		return result.fail(Lower, nil)
	}
	compact, err := compactJSON(value)
	sum := Checksum(compact)
	if version == sec.version && version > 0 {
		return s.compare(sec, result, sum, source, now)
	}
	var next *fleet.Snapshot
	if err == nil {
		next, err = s.snapshot.With(name, version, compact)
	}
	if err == nil && version < 1 {
		err = Error.New("version must be at least 1, got %d", version)
	}
	if err != nil {
		result.Repeated = remember(&sec.rejected, version, sum, err)
		return result.fail(Rejected, Error.New("section %s, version %d: %v", name, version, err))
	}
	sec.advance(Update{Name: name, Version: version, Value: compact, Checksum: sum}, steps)
	s.snapshot = next
	sec.confirm(source, now)
	result.Outcome = Applied
	return result
}

// compare handles an offer of the version that is in force.
func (s *Store) compare(sec *section, result Result, sum uint64, source Source, now clock.Millis) Result {
	if sum == sec.checksum {
		sec.confirm(source, now)
		result.Outcome = Confirmed
		return result
	}
	err := Error.New("section %s: version %d was published with two different values; publish a higher version",
		result.Name, result.Version)
	result.Repeated = remember(&sec.conflict, result.Version, sum, err)
	return result.fail(Conflict, err)
}

// ConfirmPlatform records that the platform has nothing newer than version, the answer 304 to a watch.
func (s *Store) ConfirmPlatform(name fleet.Name, version int64, now clock.Millis) {
	if sec, ok := s.sections[name]; ok && version > 0 && version == sec.version {
		sec.confirm(Source{Name: Platform}, now)
	}
}

// ConfirmPeer records that a peer has the versions. Only equal versions count, with the age that they have
// at the peer: nodes that are cut off together would otherwise show each other an age of 0.
func (s *Store) ConfirmPeer(peer string, versions []Version, now clock.Millis) {
	for _, v := range versions {
		if sec, ok := s.sections[v.Name]; ok && v.Version > 0 && v.Version == sec.version {
			sec.confirm(Source{Name: peer, AgeMs: v.AgeMs}, now)
		}
	}
}

// Versions returns the versions in force. A version that was rejected is never among them.
func (s *Store) Versions(now clock.Millis) []Version {
	versions := make([]Version, 0, len(s.sections))
	for _, name := range fleet.Names() {
		sec := s.sections[name]
		versions = append(versions, Version{Name: name, Version: sec.version, AgeMs: sec.age(now)})
	}
	return versions
}

// RequestVersions returns the versions to put into a request to a peer: 0 asks for the whole section.
func (s *Store) RequestVersions(now clock.Millis) []Version {
	versions := s.Versions(now)
	for i := range versions {
		if s.sections[versions[i].Name].wantWhole {
			versions[i].Version = 0
		}
	}
	return versions
}

// WatchAfter returns the version after which to watch the platform. It counts a rejected version, since
// the platform would otherwise return the same invalid value at once on each call.
func (s *Store) WatchAfter(name fleet.Name) int64 {
	sec := s.sections[name]
	if sec.rejected != nil {
		return max(sec.version, sec.rejected.version)
	}
	return sec.version
}

// UpdatesFor returns what a peer with the versions lacks: differences where its version is remembered,
// whole sections otherwise. It returns nil if the peer lacks nothing.
func (s *Store) UpdatesFor(peer []Version) []Update {
	have := make(map[fleet.Name]int64, len(peer))
	for _, v := range peer {
		have[v.Name] = v.Version
	}
	var updates []Update
	for _, name := range fleet.Names() {
		updates = append(updates, s.sections[name].since(name, have[name])...)
	}
	return updates
}

// Status describes the sections to operators.
func (s *Store) Status(now clock.Millis) []Status {
	var all []Status
	for _, name := range fleet.Names() {
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

func (r Result) fail(outcome Outcome, err error) Result {
	r.Outcome, r.Err = outcome, err
	return r
}

// remember stores a refusal and reports whether the same one was stored already.
func remember(slot **refusal, version int64, sum uint64, err error) bool {
	if *slot != nil && (*slot).version == version && (*slot).checksum == sum {
		return true
	}
	*slot = &refusal{version: version, checksum: sum, err: err}
	return false
}

// advance replaces the value and extends the history by the way to it.
func (c *section) advance(whole Update, steps []Update) {
	if len(steps) == 0 && c.version > 0 {
		step := whole
		step.BaseVersion = c.version
		var err error
		if step.Value, err = Diff(c.value, whole.Value); err == nil {
			steps = []Update{step}
		}
	}
	if len(steps) == 0 || steps[0].BaseVersion != c.version {
		c.steps = nil
	}
	c.steps = append(c.steps, steps...)
	c.trim(len(whole.Value))
	c.version, c.value, c.checksum = whole.Version, whole.Value, whole.Checksum
	c.wantWhole, c.conflict = false, nil
	if c.rejected != nil && c.rejected.version <= c.version {
		c.rejected = nil
	}
}

// trim drops the oldest steps. A history of more than half the section's size is of no use, since the
// whole section costs little more and needs no chain of patches.
func (c *section) trim(size int) {
	total, first := 0, len(c.steps)
	for first > 0 && len(c.steps)-first < historySteps {
		total += len(c.steps[first-1].Value)
		if total > min(historyBytes, size/2) {
			break
		}
		first--
	}
	c.steps = append([]Update(nil), c.steps[first:]...)
}

// since returns the way from a version to the one in force.
func (c *section) since(name fleet.Name, version int64) []Update {
	if version >= c.version {
		return nil
	}
	for i, step := range c.steps {
		if step.BaseVersion == version {
			return c.steps[i:]
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
