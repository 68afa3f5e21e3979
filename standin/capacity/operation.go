package capacity

import (
	"encoding/binary"
	"net/http"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/operation"
)

const bodyBytes = 1 << 10

// operations measures the table of outcomes of one home, and issuing and verifying ids.
func (r *run) operations() error {
	for _, size := range r.sizes(10_000, 30_000, 75_000) {
		r.record("operation", size, "emptyTableBytes", retainedBytes(func() any { return filledTable(size, nil) }))
		r.record("operation", size, "tableBytes", retainedBytes(func() any { return filledTable(size, make([]byte, bodyBytes)) }))
		table := filledTable(size, nil)
		next := uint64(size)
		r.record("operation", size, "operationCpuMicros", r.cpuMicros(func() {
			next++
			// One entry expires for each new one, so that the table keeps about its size.
			runOperation(table, next, timeOf(next, size), nil)
		}))
	}
	r.slope("operation", "emptyTableBytes", "Entry")
	r.slope("operation", "tableBytes", "Entry")
	codec, err := operation.NewCodec([]byte("public-secret-of-the-measurement"))
	if err != nil {
		return err
	}
	for _, size := range r.sizes(16, 64, 256) {
		id := idOf(1)
		id.Route = "/" + string(make([]byte, size))
		text, err := codec.Encode(id)
		if err != nil {
			return err
		}
		r.record("issuedId", size, "idBytes", float64(len(text)))
		r.record("issuedId", size, "issueCpuMicros", r.cpuMicros(func() { _, _ = codec.Encode(id) }))
		r.record("issuedId", size, "verifyCpuMicros", r.cpuMicros(func() { _, _ = codec.Decode(text) }))
	}
	r.slope("issuedId", "issueCpuMicros", "RouteByte")
	return nil
}

const retentionMs = 120_000

func filledTable(size int, body []byte) *operation.Table {
	table := operation.New(operation.Config{
		Node: "vm-1", Incarnation: 1, RetentionMs: retentionMs, MaxClockSkewMs: 5000, MaxEntries: 4 * size,
		MaxBodyBytes: 4 * size * (bodyBytes + len("Content-Type")*4), MaxWaiters: 8,
	})
	for i := range size {
		runOperation(table, uint64(i), timeOf(uint64(i), size), body)
	}
	return table
}

// timeOf returns the time of an operation at a constant rate of size operations in each retention time.
func timeOf(number uint64, size int) operation.ClockReading {
	return operation.ClockReading{MonotonicMs: clock.Millis(1 + retentionMs*number/uint64(size))}
}

func runOperation(table *operation.Table, number uint64, now operation.ClockReading, body []byte) {
	id := idOf(number)
	id.ExpiresMs = now.MonotonicMs + retentionMs
	op := operation.NewIssued(id)
	table.Begin(op, now)
	response := operation.Response{Status: http.StatusOK, Header: http.Header{"Content-Type": {"application/json"}}}
	if body != nil {
		response.Body = append([]byte(nil), body...)
	}
	_, _ = table.Finish(op.Ref(), call.OutcomeDone, response, now)
}

func idOf(number uint64) operation.ID {
	id := operation.ID{Account: "account-1", Service: "service-1", Route: "/service-1", Node: "vm-1", Incarnation: 1}
	binary.BigEndian.PutUint64(id.Nonce[:], number)
	return id
}
