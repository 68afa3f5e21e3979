package operation

import (
	"container/heap"
	"encoding/binary"
	"maps"
	"slices"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// HandoverPart is one part of the table of a home that stops.
type HandoverPart struct {
	Node        string `json:"node"`
	Incarnation uint64 `json:"incarnation"`
	// Export numbers the exports of the incarnation. Parts of different exports do not form a whole, because records move
	// between parts when sizes change.
	Export uint64 `json:"export"`
	// NowMs is the home's monotonic clock at the export.
	NowMs clock.Millis `json:"nowMs"`
	// RetentionMs is the time for which the heir answers for the incarnation: the longest validity of its ids.
	RetentionMs clock.Millis `json:"forgetMs"`
	// Part counts from 0 to Parts-1.
	Part    int             `json:"part"`
	Parts   int             `json:"parts"`
	Entries []HandoverEntry `json:"entries"`
}

// HandoverEntry is one operation in a handover.
type HandoverEntry struct {
	// Ref is binary and therefore no JSON string.
	Ref      []byte       `json:"ref"`
	Outcome  call.Outcome `json:"outcome"`
	Response Response     `json:"response"`
	// RemainingMs is the time until the record expires, counted from the export.
	RemainingMs clock.Millis `json:"remainingMs"`
	// KeyMs is the embedded time of an idempotency key, 0 for an issued id.
	KeyMs clock.Millis `json:"keyMs,omitempty"`
}

// maxHandoverParts bounds the memory that the number of parts in a message can claim.
const maxHandoverParts = 1 << 16

type incarnationKey struct {
	node        string
	incarnation uint64
}

type importState struct {
	export uint64
	parts  []bool
	// clockOffsetMs is the home's clock minus the heir's. The time of transit makes the home's clock look late, so the heir
	// may call an id valid that has expired. It is harmless: the home dropped no record before NowMs.
	clockOffsetMs clock.Millis
	expiresMs     clock.Millis
}

func (i *importState) complete() bool {
	return !slices.Contains(i.parts, false)
}

// Export closes the incarnation and returns its records in parts of at most partBytes, or of one entry. A running
// operation is exported as unknown. Records that this table imported itself are included, but the incarnations they
// belong to are not: a second heir answers unknown for their other ids.
func (t *Table) Export(now ClockReading, partBytes int) ([]HandoverPart, error) {
	t.dropExpired(now.MonotonicMs)
	if !t.leaving {
		return nil, Error.New("export of a table that takes new operations")
	}
	t.exportCount++
	part := HandoverPart{
		Node: t.config.Node, Incarnation: t.config.Incarnation, Export: t.exportCount, NowMs: t.nowMs,
		RetentionMs: t.config.RetentionMs,
	}
	parts := []HandoverPart{part}
	size := 0
	for _, ref := range slices.Sorted(maps.Keys(t.records)) {
		entry := t.records[ref].export(t.nowMs, t.config.RetentionMs)
		entrySize := len(ref) + entry.Response.size()
		if size > 0 && size+entrySize > partBytes {
			parts = append(parts, part)
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

// Import takes one part of a handover; parts may arrive in any order and more than once. On error the part is not
// taken and the import stays incomplete, so that ids without a record stay unknown.
func (t *Table) Import(h HandoverPart, now ClockReading) error {
	t.dropExpired(now.MonotonicMs)
	if err := h.Validate(); err != nil {
		return err
	}
	from := incarnationKey{node: h.Node, incarnation: h.Incarnation}
	i, ok := t.imports[from]
	if !ok || h.Export > i.export && !i.complete() {
		i = &importState{
			export: h.Export, parts: make([]bool, h.Parts),
			clockOffsetMs: h.NowMs - t.nowMs, expiresMs: t.nowMs + h.RetentionMs,
		}
	}
	if i.complete() {
		return nil
	}
	if i.export != h.Export || len(i.parts) != h.Parts {
		return Error.New("part of handover %d with %d parts, expected %d with %d", h.Export, h.Parts, i.export, len(i.parts))
	}
	if i.parts[h.Part] {
		return nil
	}
	if free := t.config.MaxEntries - len(t.records); len(h.Entries) > free {
		return Error.New("handover of %d operations, space for %d", len(h.Entries), free)
	}
	for _, entry := range h.Entries {
		t.importEntry(entry)
	}
	i.parts[h.Part] = true
	t.imports[from] = i
	return nil
}

// Validate reports the first field that is out of range.
func (h HandoverPart) Validate() error {
	if h.Parts < 1 || h.Parts > maxHandoverParts || h.Part < 0 || h.Part >= h.Parts {
		return Error.New("handover part %d of %d", h.Part, h.Parts)
	}
	for _, entry := range h.Entries {
		switch entry.Outcome {
		case call.OutcomeDone, call.OutcomeNotRun, call.OutcomeUnknown:
		default:
			return Error.New("handover with the outcome %q", entry.Outcome)
		}
	}
	return nil
}

// importEntry keeps an existing record unless the entry knows the outcome and the record does not.
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

// otherIncarnationState answers for an id of another incarnation that has no record here. An incarnation that was
// closed and handed over completely starts nothing any more, so the id was never run and never will be.
func (t *Table) otherIncarnationState(id ID) State {
	i, ok := t.imports[incarnationKey{node: id.Node, incarnation: id.Incarnation}]
	if !ok || !i.complete() {
		return unknownState(call.ReasonOperationUnknown)
	}
	if t.nowMs+i.clockOffsetMs >= id.ExpiresMs {
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
