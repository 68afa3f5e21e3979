package operation

import (
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// HandoverPart is one part of the table that a stopping home node hands over to its successor.
type HandoverPart struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Export numbers the exports of the incarnation. Parts of different exports can't be combined, because records move
	// between parts when sizes change.
	Export uint64 `json:"export"`
	// NowMs is the time of the export on the home node's monotonic clock.
	NowMs clock.Millis `json:"nowMs"`
	// RetentionMs is the time for which the successor answers for the incarnation: the longest validity of its ids.
	RetentionMs clock.Millis `json:"forgetMs"`
	// Part counts from 0 to Parts-1.
	Part    int             `json:"part"`
	Parts   int             `json:"parts"`
	Entries []HandoverEntry `json:"entries"`
}

// HandoverEntry is one operation in a handover.
type HandoverEntry struct {
	// Ref is binary and therefore can't be a JSON string.
	Ref      []byte       `json:"ref"`
	Outcome  call.Outcome `json:"outcome"`
	Response Response     `json:"response"`
	// RemainingMs is the time until the record expires, counted from the export.
	RemainingMs clock.Millis `json:"remainingMs"`
	// KeyMs is the time in the idempotency key, 0 for an issued id.
	KeyMs clock.Millis `json:"keyMs,omitempty"`
}

// maxHandoverParts limits the memory that a message can make a receiver allocate with its number of parts.
const maxHandoverParts = 1 << 16

type incarnationKey struct {
	node        string
	incarnation uint64
}

type importState struct {
	export uint64
	parts  []bool
	// clockOffsetMs is the home node's clock minus the successor's. The transit time of the part makes it too small, so the
	// successor may take an expired id for a valid one. That is harmless, because the home node had not dropped any record
	// that expired after NowMs.
	clockOffsetMs clock.Millis
	expiresMs     clock.Millis
}

func (s *importState) complete() bool {
	return !slices.Contains(s.parts, false)
}

// Export closes the incarnation and returns its records in parts of at most partBytes; a larger entry gets its own part.
// A running operation is exported as unknown. Records that this table imported are included, but not the incarnations that
// they belong to: a second successor answers unknown for the other ids of these incarnations.
func (t *Table) Export(now ClockReading, partBytes int) ([]HandoverPart, error) {
	t.dropExpired(now.MonotonicMs)
	if !t.leaving {
		return nil, Error.New("can't export a table that still takes new operations")
	}
	t.exportCount++
	header := HandoverPart{
		Node: t.config.Node, Incarnation: t.config.Incarnation, Export: t.exportCount, NowMs: t.nowMs,
		RetentionMs: t.config.RetentionMs,
	}
	parts := []HandoverPart{header}
	size := 0
	for _, ref := range slices.Sorted(maps.Keys(t.records)) {
		entry := t.records[ref].export(t.nowMs, t.config.RetentionMs)
		entrySize := len(ref) + entry.Response.size()
		if size > 0 && size+entrySize > partBytes {
			parts = append(parts, header)
			size = 0
		}
		last := &parts[len(parts)-1]
		last.Entries = append(last.Entries, entry)
		size += entrySize
	}
	for i := range parts {
		parts[i].Part, parts[i].Parts = i, len(parts)
	}
	return parts, nil
}

func (r *record) export(nowMs, retentionMs clock.Millis) HandoverEntry {
	entry := HandoverEntry{
		Ref: []byte(r.ref), Outcome: r.outcome, Response: r.response, RemainingMs: r.expiresMs - nowMs, KeyMs: r.keyMs,
	}
	if r.outcome == call.OutcomeRunning {
		entry.Outcome = call.OutcomeUnknown
		entry.RemainingMs = max(entry.RemainingMs, retentionMs)
	}
	return entry
}

// Import adds one part of a handover. Parts may arrive in any order and more than once. On error, the part is not added and
// the import stays incomplete, so that ids without a record are still answered with unknown.
func (t *Table) Import(part HandoverPart, now ClockReading) error {
	t.dropExpired(now.MonotonicMs)
	if err := part.Validate(); err != nil {
		return err
	}
	key := incarnationKey{node: part.Node, incarnation: part.Incarnation}
	state, ok := t.imports[key]
	if !ok || part.Export > state.export && !state.complete() {
		state = &importState{
			export: part.Export, parts: make([]bool, part.Parts),
			clockOffsetMs: part.NowMs - t.nowMs, expiresMs: t.nowMs + part.RetentionMs,
		}
	}
	if state.complete() {
		return nil
	}
	if state.export != part.Export || len(state.parts) != part.Parts {
		return Error.New("part of handover %d with %d parts, expected %d with %d",
			part.Export, part.Parts, state.export, len(state.parts))
	}
	if state.parts[part.Part] {
		return nil
	}
	if freeEntries := t.config.MaxEntries - len(t.records); len(part.Entries) > freeEntries {
		return Error.New("handover of %d operations, space for %d", len(part.Entries), freeEntries)
	}
	for _, entry := range part.Entries {
		t.importEntry(entry)
	}
	state.parts[part.Part] = true
	t.imports[key] = state
	return nil
}

// Validate reports the first field that is out of range.
func (p HandoverPart) Validate() error {
	if p.Parts < 1 || p.Parts > maxHandoverParts || p.Part < 0 || p.Part >= p.Parts {
		return Error.New("handover part %d of %d", p.Part, p.Parts)
	}
	for _, entry := range p.Entries {
		switch entry.Outcome {
		case call.OutcomeDone, call.OutcomeNotRun, call.OutcomeUnknown:
		default:
			return Error.New("handover with the outcome %q", entry.Outcome)
		}
	}
	return nil
}

// importEntry adds the record of an entry. It keeps an existing record, unless only the entry knows the outcome.
func (t *Table) importEntry(entry HandoverEntry) {
	ref := Ref(entry.Ref)
	if r, ok := t.records[ref]; ok {
		if r.outcome == call.OutcomeUnknown && entry.Outcome == call.OutcomeDone {
			r.outcome, r.response = call.OutcomeDone, t.storeResponse(entry.Response)
		}
		return
	}
	r := &record{ref: ref, outcome: entry.Outcome, expiresMs: t.nowMs + entry.RemainingMs, keyMs: entry.KeyMs}
	if entry.Outcome == call.OutcomeDone {
		r.response = t.storeResponse(entry.Response)
	}
	t.records[ref] = r
	heap.Push(&t.finished, r)
}

// otherIncarnationState returns the state of an id of another incarnation that has no record here. An incarnation that was
// closed and handed over completely starts no more operations, so the operation was never run and never will be.
func (t *Table) otherIncarnationState(id ID) State {
	state, ok := t.imports[incarnationKey{node: id.Node, incarnation: id.Incarnation}]
	if !ok || !state.complete() {
		return unknownState(call.ReasonOperationUnknown)
	}
	if t.nowMs+state.clockOffsetMs >= id.ExpiresMs {
		return unknownState(call.ReasonOperationExpired)
	}
	return State{Outcome: call.OutcomeNotRun, Reason: call.ReasonOperationSealed}
}

func appendUint64s(data []byte, values ...uint64) []byte {
	for _, value := range values {
		data = binary.BigEndian.AppendUint64(data, value)
	}
	return data
}
