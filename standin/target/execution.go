package target

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"time"

	"coltsfootusher.example/standin/journal"
)

// TokenParameter is the query parameter that identifies a root request in all answers and journals.
const TokenParameter = "token"

// execution is one request that holds a slot.
type execution struct {
	target  *Target
	ctx     context.Context
	request *http.Request
	body    []byte
	fault   Fault
	// passOn is the fault mark that inner calls carry.
	passOn string

	mu          sync.Mutex
	innerReason string
}

// run executes the request and returns its answer, or the status of the failure.
func (x *execution) run() (Answer, int) {
	entry := journal.Entry{
		Event:       journal.Start,
		Execution:   x.target.executions.Add(1),
		RequestID:   x.request.Header.Get(RequestIDHeader),
		OperationID: x.request.Header.Get(OperationIDHeader),
		Method:      x.request.Method,
		Path:        x.request.URL.Path,
		Token:       x.token(),
		BodyHash:    HashBody(x.body),
		Headers:     x.request.Header.Clone(),
	}
	if x.target.record(entry) != nil {
		return Answer{}, http.StatusInternalServerError
	}
	answer, status := x.work()
	entry.Event, entry.Headers = journal.End, nil
	entry.Outcome = outcomeOf(status)
	if x.target.record(entry) != nil {
		return Answer{}, http.StatusInternalServerError
	}
	return answer, status
}

func outcomeOf(status int) journal.Outcome {
	switch status {
	case http.StatusOK:
		return journal.Answered
	case http.StatusBadGateway:
		return journal.InnerFailed
	default:
		return journal.Cancelled
	}
}

func (x *execution) token() string {
	return x.request.URL.Query().Get(TokenParameter)
}

func (x *execution) work() (Answer, int) {
	if x.fault == Crash {
		x.target.exit(crashStatus)
	}
	if x.fault == Instant {
		return x.answer(nil, 0), http.StatusOK
	}
	wait := x.target.serviceTime()
	if x.fault == Late {
		wait += time.Duration(x.target.settings.LateMs) * time.Millisecond
	}
	if !sleep(x.ctx, wait) {
		return Answer{}, failureStatus(x.ctx)
	}
	plan := x.target.settings.plan(x.request.URL.Path)
	inner, ok := x.callAll(plan)
	if x.ctx.Err() != nil {
		return Answer{}, failureStatus(x.ctx)
	}
	if !ok {
		return Answer{}, http.StatusBadGateway
	}
	return x.answer(inner, len(plan.Calls)), http.StatusOK
}

func (x *execution) answer(inner []Answer, planned int) Answer {
	return Answer{
		Service:  x.target.settings.Service,
		Target:   x.target.settings.Name,
		Method:   x.request.Method,
		Path:     x.request.URL.RequestURI(),
		Token:    x.token(),
		BodyHash: HashBody(x.body),
		Planned:  planned,
		Inner:    inner,
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// callAll makes the planned inner calls; sequential calls stop at the first failure.
func (x *execution) callAll(plan Plan) ([]Answer, bool) {
	answers := make([]Answer, len(plan.Calls))
	failed := make([]bool, len(plan.Calls))
	var group sync.WaitGroup
	for i, call := range plan.Calls {
		if !plan.Parallel {
			if answers[i], failed[i] = x.call(call); failed[i] {
				return nil, false
			}
			continue
		}
		group.Go(func() { answers[i], failed[i] = x.call(call) })
	}
	group.Wait()
	for _, f := range failed {
		if f {
			return nil, false
		}
	}
	return answers, true
}

// call makes one inner call; the second result is true if it failed.
func (x *execution) call(c InnerCall) (Answer, bool) {
	target := "http://" + x.target.settings.EgressAddress + c.Path
	separator := "?"
	if strings.Contains(c.Path, "?") {
		separator = "&"
	}
	target += separator + TokenParameter + "=" + url.QueryEscape(x.token())
	if x.passOn != "" {
		target += "&" + x.passOn
	}
	var body io.Reader
	if c.Method != http.MethodGet {
		body = bytes.NewReader(x.body)
	}
	request, err := http.NewRequestWithContext(x.ctx, c.Method, target, body)
	if err != nil {
		return Answer{}, true
	}
	// Without GetBody net/http never sends the request a second time by itself.
	request.GetBody = nil
	request.Header.Set(ContextHeader, x.request.Header.Get(ContextHeader))
	if deadline, ok := x.ctx.Deadline(); ok {
		request.Header.Set(TimeoutHeader, strconv.FormatInt(max(time.Until(deadline).Milliseconds(), 0), 10))
	}
	return x.receive(request)
}

func (x *execution) receive(request *http.Request) (Answer, bool) {
	response, err := x.target.client.Do(request)
	if err != nil {
		return Answer{}, true
	}
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxBodyBytes))
	if err != nil || response.StatusCode != http.StatusOK {
		x.mu.Lock()
		x.innerReason = response.Header.Get(ReasonHeader)
		x.mu.Unlock()
		return Answer{}, true
	}
	answer, err := ParseAnswer(data)
	return answer, err != nil
}
