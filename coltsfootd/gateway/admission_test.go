package gateway_test

import (
	"context"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/route"
)

// Guards against calls that wait forever: the ticker that expires them stops when the queue is empty and has to start again.
func TestWaitingCallsExpireAfterTheQueueWasEmpty(t *testing.T) {
	system := clock.NewMonotonic()
	config := gate.Config{Slots: 1, QueueLimit: 10, QueueTimeoutMs: 10, Enabled: true}
	g := gate.New(config, gate.FixedLimiter(1), rand.New(rand.NewPCG(1, 1)), system.Now())
	a := gateway.NewAdmission(g, system)
	go a.Run(t.Context())
	request := func() gate.Request {
		now := system.Now()
		return gate.Request{Account: "a", Class: route.Lookup, Arrival: now, Deadline: now + 60_000}
	}
	first := a.Admit(context.Background(), request())
	assert.Assert(t, first.Admitted)
	for range 3 {
		assert.Equal(t, a.Admit(context.Background(), request()).Reason, call.ReasonQueueTimeout)
	}
	a.Done(first.ID, gate.Sample{})
	assert.Assert(t, a.Admit(context.Background(), request()).Admitted)
}

// Guards against a request that waits beyond its deadline or after its caller has left, against the wrong reason for its refusal,
// and against a slot that it occupies afterwards. Run, which lets the gate expire requests, is not active.
func TestWaitEndsWithTheDeadlineOrTheCaller(t *testing.T) {
	system := clock.NewMonotonic()
	config := gate.Config{Slots: 1, QueueLimit: 10, QueueTimeoutMs: 60_000, Enabled: true}
	a := gateway.NewAdmission(gate.New(config, gate.FixedLimiter(1), rand.New(rand.NewPCG(1, 1)), system.Now()), system)
	request := func(timeout clock.Millis) gate.Request {
		now := system.Now()
		return gate.Request{Account: "a", Class: route.Lookup, Arrival: now, Deadline: now + timeout}
	}
	first := a.Admit(t.Context(), request(60_000))
	assert.Assert(t, first.Admitted && !first.Waited)
	assert.Equal(t, a.Admit(t.Context(), request(20)).Reason, call.ReasonDeadlineExceeded)
	gone, leave := context.WithCancel(t.Context())
	leave()
	assert.Equal(t, a.Admit(gone, request(60_000)).Reason, call.ReasonCallerGone)
	assert.Equal(t, a.Load().Waiting, 0)
	a.Done(first.ID, gate.Sample{})
	assert.Assert(t, a.Admit(t.Context(), request(60_000)).Admitted)
	assert.Equal(t, a.Load().Running, 1)
}
