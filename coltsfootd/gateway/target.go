package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// The headers between a node and its target.
const (
	// ContextHeader carries the handle under which the target may make inner calls.
	ContextHeader = "Coltsfoot-Context"
	// TimeoutHeader carries the time that the caller still waits, in ms.
	TimeoutHeader = "Request-Timeout-Ms"
	// OperationHeader carries the id of a once-only operation.
	OperationHeader = "Operation-Id"
	// RefusedHeader with the value "not-run" is a target's statement that it did not execute the request.
	RefusedHeader = "Target-Refused"

	refusedNotRun = "not-run"
)

// Target calls the local target over HTTP.
type Target struct {
	address          string
	maxBufferedBytes int64
	transport        atomic.Pointer[http.Transport]
	attemptCount     atomic.Uint64

	mu             sync.Mutex
	maxConnections int
}

// initialMaxConnections is used until the published number is known.
const initialMaxConnections = 64

// NewTarget returns a client of the target at address with at most connections connections
// that buffers answers of at most bufferedBytes.
func NewTarget(address string, connections int, bufferedBytes int64) *Target {
	t := &Target{address: address, maxBufferedBytes: bufferedBytes}
	if connections <= 0 {
		connections = initialMaxConnections
	}
	t.SetMaxConnections(connections)
	return t
}

// SetMaxConnections changes the largest number of connections. Requests under way keep their connections.
//
// All of them may stay idle between requests: with the default of net/http, two, nearly each call of a busy target
// would open a connection, which costs about a millisecond.
func (t *Target) SetMaxConnections(connections int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if connections <= 0 || connections == t.maxConnections {
		return
	}
	t.maxConnections = connections
	if earlier := t.transport.Swap(transport.New(netip.Addr{}, connections, connections)); earlier != nil {
		earlier.CloseIdleConnections()
	}
}

// Do sends the request to the target and reads its answer.
func (t *Target) Do(
	ctx context.Context, c call.Call, handle string, header http.Header, body []byte, timeout clock.Millis,
) answer.Answer {
	request, err := transport.NewRequest(ctx, c.Method, "http://"+t.address+c.Path, body)
	if err != nil {
		return refuse(c, call.ReasonMalformedRequest)
	}
	transport.SetHeader(request, header)
	echo := c.RequestID + "." + strconv.FormatUint(t.attemptCount.Add(1), 36)
	request.Header.Set(answer.RequestIDHeader, echo)
	request.Header.Set(ContextHeader, handle)
	request.Header.Set(TimeoutHeader, strconv.FormatInt(int64(timeout), 10))
	if c.OperationID != "" {
		request.Header.Set(OperationHeader, c.OperationID)
	}
	client := t.transport.Load()
	response, err := client.RoundTrip(request)
	if err != nil {
		return t.failForError(ctx, c, err)
	}
	got := response.Header.Get(answer.RequestIDHeader)
	if got != "" && got != echo {
		_ = response.Body.Close()
		client.CloseIdleConnections()
		return answer.Fail(call.ReasonAnswerMismatch)
	}
	return t.readAnswer(ctx, c, response, got == echo)
}

// readAnswer takes the target's answer; echoed is true if the target has proved that it answers this request.
func (t *Target) readAnswer(ctx context.Context, c call.Call, response *http.Response, echoed bool) answer.Answer {
	a, err := answer.Read(response, t.maxBufferedBytes)
	if err != nil {
		if answer.IsTruncated(err) {
			return answer.Fail(call.ReasonAnswerTruncated)
		}
		return t.failForError(ctx, c, err)
	}
	if a.Header.Get(RefusedHeader) == refusedNotRun {
		a.Close()
		if !echoed {
			// It may be the answer to another request on the connection, so it proves nothing about this one.
			return answer.Fail(call.ReasonOverloaded)
		}
		return refuse(c, call.ReasonOverloaded)
	}
	answer.DropNodeHeaders(a.Header)
	a.Result.RunStatus = call.WasRun
	return a
}

// failForError classifies an error by whether the target can have received the request.
func (t *Target) failForError(ctx context.Context, c call.Call, err error) answer.Answer {
	switch {
	case transport.IsDialError(err) && errors.Is(err, syscall.ECONNREFUSED):
		return refuse(c, call.ReasonTargetDown)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return answer.Fail(call.ReasonDeadlineExceeded)
	case ctx.Err() != nil:
		return answer.Fail(call.ReasonCallerGone)
	default:
		return answer.Fail(call.ReasonTargetFailed)
	}
}
