package operation

import (
	"container/heap"
	"net/http"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// Config holds the identity and the limits of a table.
type Config struct {
	// Node and Incarnation identify the process that is the home node.
	Node        string
	Incarnation uint64
	// RetentionMs is the minimum time for which an outcome is kept.
	RetentionMs clock.Millis
	// MaxClockSkewMs limits the difference between the wall clocks of any two nodes; see checkKey.
	MaxClockSkewMs clock.Millis
	// MaxEntries limits the number of records. A quarter of them is reserved for sealed operations, so that a table that is
	// too full to run an operation can still promise that the operation will not run.
	MaxEntries int
	// MaxBodyBytes limits the total size of the stored headers and bodies.
	MaxBodyBytes int
	// MaxWaiters limits the number of waiters per operation.
	MaxWaiters int
}

// Ref identifies the record of an operation in a table.
type Ref string

// Operation is a once-only operation as its home node sees it.
type Operation struct {
	ref       Ref
	id        ID
	key       IdempotencyKey
	keyed     bool
	ownership SeatOwnership
}

// NewIssued returns the operation for an issued id that has been verified.
func NewIssued(id ID) Operation {
	data := appendLengthPrefixed(nil, "id", id.Account, id.Service, id.Route, id.Node, string(id.Nonce[:]))
	data = appendUint64s(data, id.Incarnation, uint64(id.ExpiresMs))
	return Operation{ref: Ref(data), id: id}
}

// NewKeyed returns the operation for an idempotency key; ownership is this process's ownership of the key's seat. The route
// is not part of the identity, so that a change of the route table can't turn a repeated request into a second operation.
func NewKeyed(account, service string, key IdempotencyKey, ownership SeatOwnership) Operation {
	ref := Ref(appendLengthPrefixed(nil, "key", account, service, string(key[:])))
	return Operation{ref: ref, key: key, keyed: true, ownership: ownership}
}

// Ref returns the reference of the operation's record.
func (o Operation) Ref() Ref {
	return o.ref
}

// Response is the target's response to an operation that is done.
type Response struct {
	Status int
	// Header holds the headers that are also sent to a repeated request.
	Header http.Header
	Body   []byte
	// BodyDropped is true if header and body did not fit into MaxBodyBytes, so that only the status was stored.
	BodyDropped bool
}

func (r Response) size() int {
	size := len(r.Body)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// State is what a table knows about an operation.
type State struct {
	Outcome call.Outcome
	// Reason says why the operation is not run now; it is empty if the operation is done or if MustRun is true.
	Reason call.Reason
	// MustRun is true if the caller of Begin must run the operation and report the outcome to Finish.
	MustRun bool
	// Response is set if the outcome is done.
	Response Response
}

// WaiterID identifies a request that waits for the outcome of an earlier request for the same operation.
type WaiterID uint64

type record struct {
	ref       Ref
	outcome   call.Outcome
	response  Response
	expiresMs clock.Millis
	// keyMs is the time in the idempotency key, 0 for an issued id.
	keyMs   clock.Millis
	waiters []WaiterID
}

// Table records the operations of one home node. It is not safe for concurrent use.
type Table struct {
	config  Config
	records map[Ref]*record
	// finished holds the records with a final outcome, with the next one to expire on top. Running operations never expire.
	finished  recordHeap
	bodyBytes int
	nowMs     clock.Millis
	// latestDroppedKeyMs is the latest time of the idempotency keys whose records were dropped. Keys up to it are no longer
	// accepted.
	latestDroppedKeyMs clock.Millis
	leaving            bool
	exportCount        uint64
	imports            map[incarnationKey]*importState
}

// New returns an empty table.
func New(config Config) *Table {
	return &Table{config: config, records: make(map[Ref]*record), imports: make(map[incarnationKey]*importState)}
}

// Issue returns a new id of this home node that is valid for RetentionMs; nonce must be random.
func (t *Table) Issue(account, service, route string, nonce Nonce, now ClockReading) (ID, error) {
	t.dropExpired(now.MonotonicMs)
	if t.leaving {
		return ID{}, Error.New("the home node is leaving")
	}
	return ID{
		Account: account, Service: service, Route: route, Node: t.config.Node, Incarnation: t.config.Incarnation,
		Nonce: nonce, ExpiresMs: t.nowMs + t.config.RetentionMs,
	}, nil
}

// Begin starts the operation if it was certainly never started or sealed on any node. If the state's MustRun is true, the
// caller must run it. A new operation is sealed if the table takes no new work.
func (t *Table) Begin(op Operation, now ClockReading) State {
	t.dropExpired(now.MonotonicMs)
	if r, ok := t.records[op.ref]; ok {
		return r.state()
	}
	if state, ok := t.checkNeverUsed(op, now); !ok {
		return state
	}
	if t.leaving {
		return t.sealNew(op, call.ReasonLeaving)
	}
	if len(t.records) >= t.config.MaxEntries-t.config.MaxEntries/4 {
		return t.sealNew(op, call.ReasonOperationTableFull)
	}
	t.addRecord(op, call.OutcomeRunning)
	return State{Outcome: call.OutcomeRunning, MustRun: true}
}

// Seal makes sure that an operation that was not started never will be, and returns its state.
func (t *Table) Seal(op Operation, now ClockReading) State {
	t.dropExpired(now.MonotonicMs)
	if r, ok := t.records[op.ref]; ok {
		return r.state()
	}
	if state, ok := t.checkNeverUsed(op, now); !ok {
		return state
	}
	return t.sealNew(op, call.ReasonOperationSealed)
}

// Outcome returns the state of the operation and changes nothing. An operation that was neither started nor sealed is
// unknown, because it may still be run.
func (t *Table) Outcome(op Operation, now ClockReading) State {
	t.dropExpired(now.MonotonicMs)
	if r, ok := t.records[op.ref]; ok {
		return r.state()
	}
	if state, ok := t.checkNeverUsed(op, now); !ok {
		return state
	}
	return unknownState(call.ReasonOperationUnknown)
}

// Finish records the final outcome of an operation that Begin started, and returns the waiters to notify. The outcome
// notRun is allowed only if the target can't have received the operation.
func (t *Table) Finish(ref Ref, outcome call.Outcome, response Response, now ClockReading) ([]WaiterID, error) {
	t.dropExpired(now.MonotonicMs)
	r, ok := t.records[ref]
	if !ok || r.outcome != call.OutcomeRunning {
		return nil, Error.New("the operation is not running")
	}
	if outcome != call.OutcomeDone && outcome != call.OutcomeUnknown && outcome != call.OutcomeNotRun {
		return nil, Error.New("%q is not a final outcome", outcome)
	}
	r.outcome = outcome
	if outcome == call.OutcomeDone {
		r.response = t.storeResponse(response)
	}
	r.expiresMs = max(r.expiresMs, t.nowMs+t.config.RetentionMs)
	heap.Push(&t.finished, r)
	waiters := r.waiters
	r.waiters = nil
	return waiters, nil
}

// Wait adds a waiter for a running operation. It returns false if the operation is not running or has too many waiters.
func (t *Table) Wait(ref Ref, waiter WaiterID) bool {
	r, ok := t.records[ref]
	if !ok || r.outcome != call.OutcomeRunning || len(r.waiters) >= t.config.MaxWaiters {
		return false
	}
	r.waiters = append(r.waiters, waiter)
	return true
}

// StopWaiting removes a waiter whose caller is gone.
func (t *Table) StopWaiting(ref Ref, waiter WaiterID) {
	r, ok := t.records[ref]
	if !ok {
		return
	}
	for i, other := range r.waiters {
		if other == waiter {
			r.waiters = append(r.waiters[:i], r.waiters[i+1:]...)
			return
		}
	}
}

// Leave makes the table seal every new operation instead of running it. It must be called before Export.
func (t *Table) Leave() {
	t.leaving = true
}

// Len returns the number of records.
func (t *Table) Len() int {
	return len(t.records)
}

// BodyBytes returns the total size of the stored headers and bodies.
func (t *Table) BodyBytes() int {
	return t.bodyBytes
}

// checkNeverUsed reports whether an operation without a record was certainly never started or sealed on any node. If not,
// it returns the state to answer with.
func (t *Table) checkNeverUsed(op Operation, now ClockReading) (State, bool) {
	if op.keyed {
		switch checkKey(op.key, op.ownership, now, t.config.MaxClockSkewMs, t.latestDroppedKeyMs) {
		case keyUnused:
			return State{}, true
		case keyInFuture:
			return unknownState(call.ReasonOperationIDInvalid), false
		default:
			return unknownState(call.ReasonOperationUnknown), false
		}
	}
	if op.id.Node != t.config.Node || op.id.Incarnation != t.config.Incarnation {
		return t.otherIncarnationState(op.id), false
	}
	if t.nowMs >= op.id.ExpiresMs {
		return unknownState(call.ReasonOperationExpired), false
	}
	return State{}, true
}

// sealNew answers notRun only if this promise is recorded, or if the home node is leaving and starts no more operations. In
// the latter case the successor starts no operation of a closed incarnation, and the next owner of the seat refuses the
// key because it is older than the ownership.
func (t *Table) sealNew(op Operation, reason call.Reason) State {
	if len(t.records) < t.config.MaxEntries {
		heap.Push(&t.finished, t.addRecord(op, call.OutcomeNotRun))
	} else if !t.leaving {
		return unknownState(reason)
	}
	return State{Outcome: call.OutcomeNotRun, Reason: reason}
}

func (t *Table) addRecord(op Operation, outcome call.Outcome) *record {
	r := &record{ref: op.ref, outcome: outcome, expiresMs: op.id.ExpiresMs}
	if op.keyed {
		r.keyMs = op.key.TimeMs()
		r.expiresMs = t.nowMs + t.config.RetentionMs
	}
	t.records[op.ref] = r
	return r
}

func (t *Table) storeResponse(response Response) Response {
	if size := response.size(); t.bodyBytes+size <= t.config.MaxBodyBytes {
		t.bodyBytes += size
		return response
	}
	return Response{Status: response.Status, BodyDropped: true}
}

// dropExpired advances the table's clock and drops the expired records and imports. The clock never goes back, so an id
// whose record was dropped stays expired.
func (t *Table) dropExpired(nowMs clock.Millis) {
	t.nowMs = max(t.nowMs, nowMs)
	for len(t.finished) > 0 && t.finished[0].expiresMs <= t.nowMs {
		r := heap.Pop(&t.finished).(*record)
		t.bodyBytes -= r.response.size()
		t.latestDroppedKeyMs = max(t.latestDroppedKeyMs, r.keyMs)
		delete(t.records, r.ref)
	}
	for key, state := range t.imports {
		if state.expiresMs <= t.nowMs {
			delete(t.imports, key)
		}
	}
}

func unknownState(reason call.Reason) State {
	return State{Outcome: call.OutcomeUnknown, Reason: reason}
}

func (r *record) state() State {
	state := State{Outcome: r.outcome, Response: r.response}
	switch r.outcome {
	case call.OutcomeRunning:
		state.Reason = call.ReasonOperationRunning
	case call.OutcomeNotRun:
		state.Reason = call.ReasonOperationSealed
	case call.OutcomeUnknown:
		state.Reason = call.ReasonOperationUnknown
	}
	return state
}

type recordHeap []*record

func (h recordHeap) Len() int           { return len(h) }
func (h recordHeap) Less(i, j int) bool { return h[i].expiresMs < h[j].expiresMs }
func (h recordHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *recordHeap) Push(x any)        { *h = append(*h, x.(*record)) }

func (h *recordHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return r
}
