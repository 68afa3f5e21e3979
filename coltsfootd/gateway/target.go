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

// Headers between a node and its local target.
const (
	// ContextHeader carries the handle with which the target makes inner calls.
	ContextHeader = "Coltsfoot-Context"
	// TimeoutHeader carries the time left until the caller's deadline, in milliseconds.
	TimeoutHeader = "Request-Timeout-Ms"
	// OperationHeader carries the id of a non-idempotent operation.
	OperationHeader = "Operation-Id"
	// RefusedHeader has the value "not-run" if the target did not execute the request.
	RefusedHeader = "Target-Refused"

	refusedNotRun = "not-run"
)

// Target is an HTTP client of the local target.
type Target struct {
	address          string
	maxBufferedBytes int64
	transport        atomic.Pointer[http.Transport]
	attemptCount     atomic.Uint64

	mu             sync.Mutex
	maxConnections int
}

// initialMaxConnections is the limit until the published one is known.
const initialMaxConnections = 64

// NewTarget returns a client of the target at address that opens at most connections connections and buffers answers of at
// most bufferedBytes.
func NewTarget(address string, connections int, bufferedBytes int64) *Target {
	t := &Target{address: address, maxBufferedBytes: bufferedBytes}
	if connections <= 0 {
		connections = initialMaxConnections
	}
	t.SetMaxConnections(connections)
	return t
}

// SetMaxConnections changes the maximum number of connections. Active requests keep their connections.
//
// All connections may stay idle between requests. With the default of net/http, two idle connections, almost every call of a
// busy target would open a new connection, which takes about a millisecond.
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

// readAnswer reads the target's answer; echoed is true if the answer carries the id of this request.
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
			// This may be the answer to another request on the connection, so this request may have run.
			return answer.Fail(call.ReasonOverloaded)
		}
		return refuse(c, call.ReasonOverloaded)
	}
	answer.DropNodeHeaders(a.Header)
	a.Result.RunStatus = call.WasRun
	return a
}

// failForError returns the answer for an error, by whether the target may have received the request.
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
