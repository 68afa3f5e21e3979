package operations

import (
	"context"
	"io"
	"net/http"
	"runtime/debug"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/operation"
)

// Run runs the operation unless it has already been run or sealed, and answers with its outcome. A started operation
// continues after ctx ends, for at most runTimeout; execute gets a context of its own. A retried request waits until
// the running operation has finished or ctx ends.
func (s *Service) Run(ctx context.Context, c call.Call, execute func(ctx context.Context) answer.Answer) answer.Answer {
	op, now, ok := s.localOperation(c.OperationID, c.Account, c.Service)
	if id, err := s.config.Codec.Decode(c.OperationID); err == nil && id.Route != c.Route {
		ok = false
	}
	if !ok {
		return stateAnswer(operation.State{Outcome: call.OutcomeUnknown, Reason: call.ReasonOperationIDInvalid})
	}
	ctx, cancel := withAnswerMargin(ctx)
	defer cancel()
	s.mu.Lock()
	state := s.table.Begin(op, now)
	if !state.MustRun {
		s.mu.Unlock()
		return stateAnswer(s.awaitOutcome(ctx, op, state))
	}
	s.running.Add(1)
	s.mu.Unlock()
	result := make(chan answer.Answer, 1)
	go func() {
		defer s.running.Done()
		runCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.runTimeout)
		defer cancel()
		result <- s.finish(op, s.executeWithRecovery(runCtx, execute))
	}()
	select {
	case a := <-result:
		return a
	case <-ctx.Done():
		return stateAnswer(operation.State{Outcome: call.OutcomeRunning, Reason: call.ReasonOperationRunning})
	}
}

// executeWithRecovery turns a panic into an answer, as net/http does for its handlers. Otherwise the operation would
// count as running forever.
func (s *Service) executeWithRecovery(ctx context.Context, execute func(ctx context.Context) answer.Answer) (a answer.Answer) {
	defer func() {
		if cause := recover(); cause != nil {
			_ = level.Error(s.config.Logger).Log("msg", "operation panicked", "cause", cause, "stack", string(debug.Stack()))
			a = answer.Fail(call.ReasonInternalError)
		}
	}()
	return execute(ctx)
}

// withAnswerMargin returns a context that ends answerMargin before the deadline of ctx.
func withAnswerMargin(ctx context.Context) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithDeadline(ctx, deadline.Add(-answerMargin))
}

// awaitOutcome waits until a running operation has finished or ctx ends, and returns its state.
func (s *Service) awaitOutcome(ctx context.Context, op operation.Operation, state operation.State) operation.State {
	if state.Outcome != call.OutcomeRunning {
		return state
	}
	ended := make(chan struct{})
	s.mu.Lock()
	s.nextWaiter++
	waiter := s.nextWaiter
	added := s.table.Wait(op.Ref(), waiter)
	if added {
		s.waiters[waiter] = ended
	}
	s.mu.Unlock()
	if added {
		select {
		case <-ended:
		case <-ctx.Done():
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.StopWaiting(op.Ref(), waiter)
	delete(s.waiters, waiter)
	return s.table.Outcome(op, s.now())
}

// finish records the outcome of the execution and returns the answer for the caller.
func (s *Service) finish(op operation.Operation, a answer.Answer) answer.Answer {
	a = s.bufferBody(a)
	outcome, response := answerOutcome(a), dropOversizedBody(operation.Response{
		Status: a.Status, Header: a.Header.Clone(), Body: a.Body,
	})
	if a.Result.Reason == call.ReasonAnswerNotKept {
		outcome, response = call.OutcomeDone, operation.Response{Status: a.Status, BodyDropped: true}
	}
	a.Result.Outcome = outcome
	s.mu.Lock()
	defer s.mu.Unlock()
	waiters, err := s.table.Finish(op.Ref(), outcome, response, s.now())
	if err != nil {
		_ = level.Error(s.config.Logger).Log("msg", "could not record the outcome of an operation", "err", err)
		a.Result.Outcome = call.OutcomeUnknown
	}
	for _, w := range waiters {
		if ended, ok := s.waiters[w]; ok {
			close(ended)
			delete(s.waiters, w)
		}
	}
	return a
}

// maxBufferedBytes bounds the memory for the answer of one running operation.
const maxBufferedBytes = 4 << 20

// maxStoredBytes bounds a stored response, so that it fits into one message of a handover.
const maxStoredBytes = handoverPartBytes

// dropOversizedBody reduces a response that is too large for a handover to its status.
func dropOversizedBody(r operation.Response) operation.Response {
	if len(r.Body)+headerBytes(r.Header) <= maxStoredBytes {
		return r
	}
	return operation.Response{Status: r.Status, BodyDropped: true}
}

func headerBytes(header http.Header) int {
	size := 0
	for name, values := range header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// answerOutcome returns the outcome that follows from the answer. It is notRun only if no target can have received the
// operation.
func answerOutcome(a answer.Answer) call.Outcome {
	switch {
	case a.FromTarget():
		return call.OutcomeDone
	case a.Result.RunStatus == call.NotRun:
		return call.OutcomeNotRun
	default:
		return call.OutcomeUnknown
	}
}

// bufferBody reads the rest of a large body, because a retried request gets the same response. If the body is too large
// to be kept, only the status remains.
func (s *Service) bufferBody(a answer.Answer) answer.Answer {
	if a.Rest == nil {
		return a
	}
	defer a.Close()
	limit := max(0, min(maxBufferedBytes, s.config.Table.MaxBodyBytes)-len(a.Body))
	rest, err := io.ReadAll(io.LimitReader(a.Rest, int64(limit)+1))
	switch {
	case err != nil:
		failed := answer.Fail(call.ReasonAnswerTruncated)
		failed.Result.RetryAllowanceLeft = a.Result.RetryAllowanceLeft
		return failed
	case len(rest) > limit:
		return answerNotKept()
	}
	a.Body, a.Rest = append(a.Body, rest...), nil
	return a
}

// answerNotKept returns the answer for an operation that is done but whose response is no longer available.
func answerNotKept() answer.Answer {
	a := answer.Refuse(call.ReasonAnswerNotKept)
	a.Result.RunStatus, a.Result.Outcome = call.WasRun, call.OutcomeDone
	return a
}

// stateAnswer returns the answer that reports the state to a caller.
func stateAnswer(state operation.State) answer.Answer {
	if state.Outcome == call.OutcomeDone {
		if state.Response.BodyDropped {
			return answerNotKept()
		}
		r := state.Response
		return answer.Answer{
			Result: call.Result{RunStatus: call.WasRun, Outcome: call.OutcomeDone},
			Status: r.Status, Header: r.Header.Clone(), Body: r.Body,
		}
	}
	a := answer.Fail(state.Reason)
	if state.Outcome == call.OutcomeNotRun {
		a.Result.RunStatus = call.NotRun
	}
	a.Result.Outcome = state.Outcome
	return a
}
