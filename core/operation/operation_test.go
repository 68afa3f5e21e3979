package operation_test

import (
	"net/url"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/operation"
)

var testID = operation.ID{
	Account: "laurel", Service: "voids", Route: "/voids/é", Node: "n1", Incarnation: 1<<64 - 1, Nonce: operation.Nonce{1},
	ExpiresMs: 1000,
}

func newCodec(t *testing.T, secret string) *operation.Codec {
	t.Helper()
	codec, err := operation.NewCodec([]byte(secret))
	assert.NilError(t, err)
	return codec
}

func newTable(maxEntries int) *operation.Table {
	return operation.New(operation.Config{
		Node: "n1", Incarnation: testID.Incarnation, RetentionMs: 1000, MaxClockSkewMs: 50,
		MaxEntries: maxEntries, MaxBodyBytes: 10, MaxWaiters: 1,
	})
}

func operationWithNonce(n byte) operation.Operation {
	id := testID
	id.Nonce[1] = n
	return operation.NewIssued(id)
}

// Guards against ids that were changed in transit or forged, and against ids that change when they are put into a URL.
func TestAlteredIDIsRejected(t *testing.T) {
	codec := newCodec(t, "secret")
	text, err := codec.Encode(testID)
	assert.NilError(t, err)
	assert.Equal(t, url.PathEscape(text), text)
	got, err := codec.Decode(text)
	assert.NilError(t, err)
	assert.Equal(t, got, testID)
	for i := range text {
		changed := []byte(text)
		changed[i] ^= 1
		_, err := codec.Decode(string(changed))
		assert.Assert(t, err != nil, "byte %d", i)
		_, err = codec.Decode(text[:i])
		assert.Assert(t, err != nil, "length %d", i)
	}
	_, err = newCodec(t, "other").Decode(text)
	assert.ErrorContains(t, err, "not issued by this fleet")
}

// Guards against a repeated inner call that gets a new id, and against two different inner calls that get the same id.
func TestChildIDIsStableAndUnique(t *testing.T) {
	codec := newCodec(t, "secret")
	child := codec.ChildID("parent", operation.ChildPosition{Index: 1}, testID)
	assert.Equal(t, child, codec.ChildID("parent", operation.ChildPosition{Index: 1}, testID))
	other := testID
	other.Service = "payments"
	for _, different := range []operation.ID{
		codec.ChildID("parent", operation.ChildPosition{Index: 2}, testID),
		codec.ChildID("parent", operation.ChildPosition{Key: "1"}, testID),
		codec.ChildID("parent2", operation.ChildPosition{Index: 1}, testID),
		codec.ChildID("parent", operation.ChildPosition{Index: 1}, other),
	} {
		assert.Assert(t, different.Nonce != child.Nonce)
	}
}

// Guards against keys that contain no time, and against an operation that runs twice because its key was written in two
// ways.
func TestParseIdempotencyKeyRejectsInvalidText(t *testing.T) {
	key, err := operation.ParseIdempotencyKey("017F22E2-79B0-7CC3-98C4-DC0C0C07398F")
	assert.NilError(t, err)
	assert.Equal(t, key.TimeMs(), clock.Millis(0x017F22E279B0))
	assert.Equal(t, key.String(), "017f22e2-79b0-7cc3-98c4-dc0c0c07398f")
	for _, text := range []string{
		"", "{17f22e279b07cc398c4dc0c0c07398f0000}", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f",
		"017f22e2-79b0-7cc3-18c4-dc0c0c07398f", "017f22e279b07cc398c4dc0c0c07398f",
	} {
		_, err := operation.ParseIdempotencyKey(text)
		assert.Assert(t, err != nil, text)
	}
}

// Guards against the loss of a domain moving the keys of the other domains, and against an uneven distribution of keys.
func TestSeatOfIsStableAndBalanced(t *testing.T) {
	counts := make(map[operation.Seat]int)
	for i := range 3000 {
		key := operation.IdempotencyKey{14: byte(i >> 8), 15: byte(i)}
		seat, err := operation.SeatOf("a", key, []string{"a", "b", "c"}, 4)
		assert.NilError(t, err)
		fewer, err := operation.SeatOf("a", key, []string{"b", "a"}, 4)
		assert.NilError(t, err)
		assert.Assert(t, seat.Domain == "c" || seat == fewer)
		counts[seat]++
	}
	for seat, n := range counts {
		assert.Assert(t, n > 125 && n < 500, "%v: %d", seat, n)
	}
	_, err := operation.SeatOf("a", operation.IdempotencyKey{}, nil, 4)
	assert.ErrorContains(t, err, "no seat")
}

// Guards against a full table that answers notRun without recording this promise, and against unlimited memory for bodies.
func TestFullTableAnswersNotRunOnlyWithRecord(t *testing.T) {
	table := newTable(4)
	for n := range byte(3) {
		assert.Assert(t, table.Begin(operationWithNonce(n), operation.ClockReading{}).MustRun)
	}
	state := table.Begin(operationWithNonce(3), operation.ClockReading{})
	assert.Equal(t, state.Outcome, call.OutcomeNotRun)
	assert.Equal(t, state.Reason, call.ReasonOperationTableFull)
	assert.Equal(t, table.Begin(operationWithNonce(4), operation.ClockReading{}).Outcome, call.OutcomeUnknown)
	for n, wantDropped := range []bool{false, true, false} {
		body := make([]byte, []int{6, 5, 4}[n])
		_, err := table.Finish(operationWithNonce(byte(n)).Ref(), call.OutcomeDone, operation.Response{Body: body},
			operation.ClockReading{})
		assert.NilError(t, err)
		state := table.Begin(operationWithNonce(byte(n)), operation.ClockReading{})
		assert.Equal(t, state.Outcome, call.OutcomeDone)
		assert.Equal(t, state.Response.BodyDropped, wantDropped)
	}
	assert.Equal(t, table.BodyBytes(), 10)
	assert.Equal(t, table.Begin(operationWithNonce(9), operation.ClockReading{MonotonicMs: 1000}).Reason,
		call.ReasonOperationExpired)
	assert.Equal(t, table.BodyBytes()+table.Len(), 0)
}

// Guards against repeated requests that are not told the outcome that they wait for.
func TestWaitersGetFinalOutcome(t *testing.T) {
	table := newTable(4)
	op := operationWithNonce(0)
	table.Begin(op, operation.ClockReading{})
	assert.Equal(t, table.Begin(op, operation.ClockReading{}).Outcome, call.OutcomeRunning)
	assert.Assert(t, table.Wait(op.Ref(), 7))
	assert.Assert(t, !table.Wait(op.Ref(), 8))
	table.StopWaiting(op.Ref(), 7)
	assert.Assert(t, table.Wait(op.Ref(), 8))
	waiters, err := table.Finish(op.Ref(), call.OutcomeUnknown, operation.Response{}, operation.ClockReading{})
	assert.NilError(t, err)
	assert.DeepEqual(t, waiters, []operation.WaiterID{8})
	_, err = table.Finish(op.Ref(), call.OutcomeDone, operation.Response{}, operation.ClockReading{})
	assert.ErrorContains(t, err, "not running")
	assert.Assert(t, !table.Wait(op.Ref(), 9))
}

// Guards against a successor that answers notRun after an incomplete handover, or after parts of different exports.
func TestIncompleteImportAnswersUnknown(t *testing.T) {
	table := newTable(8)
	for n := range byte(2) {
		table.Begin(operationWithNonce(n), operation.ClockReading{})
	}
	_, err := table.Export(operation.ClockReading{}, 1)
	assert.ErrorContains(t, err, "takes new operations")
	table.Leave()
	first, err := table.Export(operation.ClockReading{}, 1)
	assert.NilError(t, err)
	second, err := table.Export(operation.ClockReading{}, 1)
	assert.NilError(t, err)
	assert.Equal(t, len(first), 2)
	successor := operation.New(operation.Config{Node: "n2", MaxEntries: 8})
	assert.NilError(t, successor.Import(second[0], operation.ClockReading{}))
	assert.NilError(t, successor.Import(second[0], operation.ClockReading{}))
	assert.ErrorContains(t, successor.Import(first[1], operation.ClockReading{}), "expected")
	assert.Equal(t, successor.Outcome(operationWithNonce(9), operation.ClockReading{}).Outcome, call.OutcomeUnknown)
	assert.NilError(t, successor.Import(second[1], operation.ClockReading{}))
	assert.Equal(t, successor.Begin(operationWithNonce(9), operation.ClockReading{}).Outcome, call.OutcomeNotRun)
	assert.Equal(t, successor.Begin(operationWithNonce(0), operation.ClockReading{}).Outcome, call.OutcomeUnknown)
	assert.Equal(t, successor.Begin(operationWithNonce(9), operation.ClockReading{MonotonicMs: 1000}).Outcome, call.OutcomeUnknown)
	small := operation.New(operation.Config{Node: "n3", MaxEntries: 1})
	assert.NilError(t, small.Import(second[0], operation.ClockReading{}))
	assert.ErrorContains(t, small.Import(second[1], operation.ClockReading{}), "space")
	assert.ErrorContains(t, successor.Import(operation.HandoverPart{}, operation.ClockReading{}), "part 0 of 0")
}
