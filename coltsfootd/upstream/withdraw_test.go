package upstream

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"coltsfootusher.example/coltsfootd/socket"
)

// Guards against requests that reach a target after it has crashed and come back cold, although they were started before: the
// loss of the idle connections must be told before a new one is opened, and requests of earlier epochs must not be sent then.
func TestRequestsOfAnEarlierEpochAreNotSent(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { received.Add(1) }))
	defer server.Close()
	pool := New(strings.TrimPrefix(server.URL, "http://"), Settings{
		DialTimeout: time.Second, AckTimeout: time.Second, IdleTimeout: time.Minute, MaxIdle: 4, Sockets: socket.NewBudget(100),
	})
	lost := 0
	pool.OnLost(func() {
		lost++
		pool.Withdraw(2)
	})
	send := func(epoch uint64) error {
		request := &Request{Method: http.MethodGet, URI: "/", Host: "h", Header: http.Header{}, Epoch: epoch}
		response, err := pool.Do(context.Background(), request)
		if err == nil {
			response.Close()
		}
		return err
	}
	assert.NilError(t, send(1))
	assert.NilError(t, send(1))
	assert.Equal(t, lost, 0)
	server.CloseClientConnections()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := send(1); err == nil {
			return poll.Continue("the end of the connection has not arrived yet")
		} else if !errors.Is(err, ErrWithdrawn) {
			return poll.Error(err)
		}
		return poll.Success()
	}, poll.WithDelay(time.Millisecond))
	assert.Equal(t, lost, 1)
	before := received.Load()
	var failure *RequestError
	assert.Assert(t, errors.As(send(1), &failure) && !failure.Sent && !failure.Unreachable)
	assert.Equal(t, received.Load(), before)
	assert.NilError(t, send(2))
}
