package crash_test

import (
	"net"
	"testing"

	"github.com/go-kit/log"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/crash"
	"coltsfootusher.example/core/poison"
)

// closedAddress returns an address on which nothing listens.
func closedAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, listener.Close())
	return listener.Addr().String()
}

func newGuard(t *testing.T, address string, notices chan crash.Notice) *crash.Guard {
	t.Helper()
	return crash.New(crash.Config{
		TargetAddress: address, StopPlanned: func() bool { return false },
		SendNotice: func(n crash.Notice) { notices <- n }, Logger: log.NewNopLogger(),
	})
}

// failRequest lets a request fail as if the target had died, and returns the notice for the other nodes.
func failRequest(t *testing.T, g *crash.Guard, fingerprint uint64, notices chan crash.Notice) crash.Notice {
	t.Helper()
	ticket, ok := g.Enter(fingerprint)
	assert.Assert(t, ok)
	g.Leave(ticket, fingerprint, poison.Failed)
	return <-notices
}

// Guards against a request that crashes one target after another: after three crashes, on whichever nodes, every node
// refuses it.
func TestRequestThatCrashesTargetsIsRefused(t *testing.T) {
	const bad, good = 1, 2
	notices := make(chan crash.Notice, 1)
	guards := []*crash.Guard{
		newGuard(t, closedAddress(t), notices), newGuard(t, closedAddress(t), notices), newGuard(t, closedAddress(t), notices),
	}
	for _, g := range guards {
		notice := failRequest(t, g, bad, notices)
		for _, other := range guards {
			if other != g {
				other.AddNotice(notice)
			}
		}
	}
	for _, g := range guards {
		_, ok := g.Enter(bad)
		assert.Assert(t, !ok)
		_, ok = g.Enter(good)
		assert.Assert(t, ok)
	}
}

// Guards against refusing a frequent request that happened to be in flight during each of several crashes.
func TestRequestAnsweredHereIsNotRefusedAfterCrashesElsewhere(t *testing.T) {
	const popular, crashes = 1, 4
	notices := make(chan crash.Notice, 1)
	g := newGuard(t, closedAddress(t), notices)
	for other := range uint64(crashes) {
		ticket, ok := g.Enter(popular)
		assert.Assert(t, ok)
		g.Leave(ticket, popular, poison.Completed)
		_, ok = g.Enter(popular)
		assert.Assert(t, ok)
		n := failRequest(t, g, popular+1+other, notices)
		g.AddNotice(crash.Notice{Crash: n.Crash + 1, AtMs: n.AtMs, Fingerprints: []uint64{popular}})
	}
	_, ok := g.Enter(popular)
	assert.Assert(t, ok)
}

// Guards against taking a lost answer for the death of the target.
func TestBrokenConnectionToALivingTargetIsNoCrash(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	accepted := make(chan struct{}, 16)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			_ = c.Close()
			accepted <- struct{}{}
		}
	}()
	notices := make(chan crash.Notice, 1)
	g := newGuard(t, listener.Addr().String(), notices)
	for range 4 {
		ticket, ok := g.Enter(1)
		assert.Assert(t, ok)
		g.Leave(ticket, 1, poison.Failed)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if len(accepted) < 4 {
			return poll.Continue("the target has not been probed four times yet")
		}
		return poll.Success()
	})
	assert.Equal(t, len(notices), 0)
	_, ok := g.Enter(1)
	assert.Assert(t, ok)
}
