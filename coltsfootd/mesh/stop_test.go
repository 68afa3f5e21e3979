package mesh_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/meshsetting"
)

// Guards against a planned stop that ends the process while accepted requests wait at a gate, so that their callers get no answer
// although the requests have not run.
func TestStopRefusesRequestsThatStillWait(t *testing.T) {
	for _, c := range []struct {
		name            string
		entry, stopping int
	}{
		{"own gate", 1, 1},
		{"gate of another node", 0, 0},
		{"own gate, request of another node", 0, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			// The gate has 16 slots until it knows that the target has 8, so that some requests wait in any case.
			const slots, requests = 8, 24
			f := newFleetWith(t, func(s *meshsetting.Settings) { s.GraceSeconds = 4 }, "riders", "voids")
			f.targets[1].holdRequests.Store(true)
			refused := make(chan bool, requests)
			for range requests {
				go func() {
					got, err := f.trySend(c.entry, http.MethodPost, "/voids/1", "secret", "x")
					refused <- err == nil && got.status == http.StatusServiceUnavailable
				}()
			}
			running := f.waitForStableRuns(t, 1, slots)
			f.nodes[c.stopping].stop()
			assert.NilError(t, <-f.nodes[c.stopping].done)
			f.targets[1].releaseRequests()
			count := 0
			for range requests {
				if <-refused {
					count++
				}
			}
			assert.Equal(t, f.targets[1].runs.Load(), running, "requests that were refused have run")
			assert.Equal(t, count, requests-int(running))
		})
	}
}

// Guards against requests that a stopping node accepts late, as the calls of its target, and whose connections it then closes
// without an answer. An operation that may not end in time must not be sent at all.
func TestStopAnswersLateRequests(t *testing.T) {
	f := newFleetWith(t, func(s *meshsetting.Settings) { s.GraceSeconds = 4 }, "riders", "voids")
	f.targets[1].holdRequests.Store(true)
	f.nodes[0].stop()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := f.send(t, 0, http.MethodGet, "/short/1", "secret", "").header.Get("Coltsfoot-Reason"); got != "leaving" {
			return poll.Continue("the node still accepts callers' requests: %s", got)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second))
	ran := f.targets[1].runs.Load()
	assert.Equal(t, f.send(t, 0, http.MethodPost, "/openvoids/1", "", "x").status, http.StatusServiceUnavailable)
	assert.Equal(t, f.targets[1].runs.Load(), ran)
	assert.Equal(t, f.send(t, 0, http.MethodGet, "/open/1", "", "").status, http.StatusGatewayTimeout)
	assert.NilError(t, <-f.nodes[0].done)
}

// waitForStableRuns waits until the target has at least count runs and no more are started, and returns their number.
func (f *fleet) waitForStableRuns(t *testing.T, target, count int) int64 {
	t.Helper()
	last := int64(-1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		now := f.targets[target].runs.Load()
		if now < int64(count) || now != last {
			last = now
			return poll.Continue("%d requests run", now)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(500*time.Millisecond))
	return last
}
