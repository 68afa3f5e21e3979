package gateway

import (
	"context"
	"errors"
	"net/http"
	"net/netip"
	"strconv"
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
	address   string
	limit     int64
	transport *http.Transport
	attempts  atomic.Uint64
}

// NewTarget returns a client of the target at address with at most connections connections
// that buffers answers of at most bufferedBytes.
func NewTarget(address string, connections int, bufferedBytes int64) *Target {
	return &Target{address: address, limit: bufferedBytes, transport: transport.New(netip.Addr{}, connections, connections)}
}

// Do sends the request to the target and reads its answer.
func (t *Target) Do(
	ctx context.Context, c call.Call, handle string, header http.Header, body []byte, timeout clock.Millis,
) answer.Answer {
	request, err := transport.NewRequest(ctx, c.Method, "http://"+t.address+c.Path, body)
	if err != nil {
		return refuse(c, call.ReasonMalformed)
	}
	transport.SetHeader(request, header)
	echo := c.RequestID + "." + strconv.FormatUint(t.attempts.Add(1), 36)
	request.Header.Set(answer.RequestHeader, echo)
	request.Header.Set(ContextHeader, handle)
	request.Header.Set(TimeoutHeader, strconv.FormatInt(int64(timeout), 10))
	if c.OperationID != "" {
		request.Header.Set(OperationHeader, c.OperationID)
	}
	response, err := t.transport.RoundTrip(request)
	if err != nil {
		return t.failure(ctx, c, err)
	}
	if got := response.Header.Get(answer.RequestHeader); got != "" && got != echo {
		_ = response.Body.Close()
		t.transport.CloseIdleConnections()
		return answer.Fail(call.ReasonAnswerMismatch)
	}
	return t.read(ctx, c, response)
}

func (t *Target) read(ctx context.Context, c call.Call, response *http.Response) answer.Answer {
	a, err := answer.Read(response, t.limit)
	if err != nil {
		if answer.Truncated(err) {
			return answer.Fail(call.ReasonAnswerTruncated)
		}
		return t.failure(ctx, c, err)
	}
	if a.Header.Get(RefusedHeader) == refusedNotRun {
		a.Close()
		refused := refuse(c, call.ReasonOverloaded)
		refused.Header = http.Header{}
		return refused
	}
	a.Header.Del(answer.RequestHeader)
	a.Result.Run = call.WasRun
	return a
}

// failure classifies an error by whether the target can have received the request.
func (t *Target) failure(ctx context.Context, c call.Call, err error) answer.Answer {
	switch {
	case transport.DialFailed(err) && errors.Is(err, syscall.ECONNREFUSED):
		return refuse(c, call.ReasonTargetDown)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return answer.Fail(call.ReasonDeadlineExceeded)
	case ctx.Err() != nil:
		return answer.Fail(call.ReasonCallerGone)
	default:
		return answer.Fail(call.ReasonTargetFailed)
	}
}
