package directory_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/vm"
)

// askAge is the lowest age of its own confirmation at which a node asks others for a newer one.
const askAge clock.Millis = 500

// beforeWatchEnds is shorter than the time after which a watch without an answer ends by itself.
const beforeWatchEnds = 12 * time.Second

// Guards against a fleet in which every node reads the platform itself while its first reader is turned away, because the node
// that takes over tells nobody that it has a confirmation.
func TestReaderThatTakesOverTellsTheNextRanks(t *testing.T) {
	_, second := newAddresses(t)
	var told atomic.Bool
	silent := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		m := struct {
			From  string       `json:"from"`
			AgeMs clock.Millis `json:"ageMs"`
		}{AgeMs: -1}
		if json.NewDecoder(r.Body).Decode(&m) == nil && m.From == second && m.AgeMs >= 0 && m.AgeMs < askAge {
			told.Store(true)
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	platform := newRestorablePlatform(1, 9, targetOf("t1", startFirstRank(t, silent, second), 1, 1, 1, vm.Live),
		targetOf("t2", second, 1, 2, 1, vm.Live))
	c := &manualClock{}
	c.now.Store(1_000_000)
	runNodeWith(t, c, second, 2, platform)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		c.now.Add(100)
		if !told.Load() {
			return poll.Continue("the next rank has not been told")
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

// startFirstRank starts a server for messages of nodes whose address ranks before the other one, and returns its address.
func startFirstRank(t *testing.T, h http.Handler, other string) string {
	t.Helper()
	for {
		s := httptest.NewServer(h)
		t.Cleanup(s.Close)
		address := strings.TrimPrefix(s.URL, "http://")
		if xxhash.Sum64String(address) < xxhash.Sum64String(other) {
			return address
		}
	}
}

// Guards against a node that ignores such a message, and against one that takes the age in it for its own: the time that the
// message took is not known.
func TestPushedConfirmationIsFetchedFromItsSender(t *testing.T) {
	first, second := newAddresses(t)
	// Neither node lists the other, so that they don't meet before the message.
	c := &manualClock{}
	c.now.Store(1_000_000)
	turnedAway := newRestorablePlatform(1, 9, targetOf("t1", first, 1, 1, 1, vm.Live))
	stale := runNodeWith(t, c, first, 1, turnedAway)
	stale.waitForVersion(t, 1)
	turnedAway.mu.Lock()
	turnedAway.policyErr = errUnreachable
	turnedAway.mu.Unlock()
	c.now.Add(int64(askAge) + 200)
	message := fmt.Sprintf(`{"from":%q,"incarnation":"2","policyVersion":1,"ageMs":0}`, second)
	push := func() {
		recorder := httptest.NewRecorder()
		stale.ServeSync(recorder, httptest.NewRequest(http.MethodPost, directory.SyncPath, strings.NewReader(message)))
		assert.Equal(t, recorder.Code, http.StatusOK)
	}
	push()
	waitForTicks(t, &c.reads)
	assert.Assert(t, stale.Age() > askAge, "the message alone confirms nothing")
	fresh := runNodeWith(t, c, second, 2, newRestorablePlatform(1, 9, targetOf("t2", second, 1, 2, 1, vm.Live)))
	fresh.waitForVersion(t, 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		push()
		if stale.Age() > askAge {
			return poll.Continue("the confirmation is %d ms old", stale.Age())
		}
		return poll.Success()
	}, poll.WithTimeout(waitLimit), poll.WithDelay(20*time.Millisecond))
}

// Guards against a watch that delivers nothing any more and shows no error, such as one that was opened in the last moments of an
// outage: targets that leave would stay in use until the list is read again.
func TestWatchThatDeliversNothingIsReplaced(t *testing.T) {
	platform := newRestorablePlatform(1, 9, targetAt(1, 5, 1, vm.Live))
	c := &manualClock{}
	c.now.Store(1_000_000)
	d := newDirectory(c, ownAddress, 1, platform)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go d.Run(ctx)
	waitForView(t, d)
	platform.waitForWatch(t, history.Position{Epoch: 1, Revision: 9})
	// The changes of the fake platform's list are not delivered by its watches.
	platform.restore(1, 12, targetAt(1, 11, 2, vm.Leaving))
	platform.mu.Lock()
	platform.policy.Revision = 12
	platform.mu.Unlock()
	// Less than the interval at which the list is read in any case.
	for range 4 {
		c.now.Add(600)
		waitForTicks(t, &c.reads)
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if v, _ := d.View().VM("t1"); v.State != vm.Leaving {
			return poll.Continue("the target is %s", v.State)
		}
		return poll.Success()
	}, poll.WithTimeout(beforeWatchEnds))
	platform.waitForWatch(t, history.Position{Epoch: 1, Revision: 12})
}
