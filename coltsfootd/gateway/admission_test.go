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
