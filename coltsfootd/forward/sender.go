package forward

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/passage"
	"coltsfootusher.example/coltsfootd/peers"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/vm"
)

const (
	// crossDomainDelayMs makes the balancer prefer targets of the own failure domain, because traffic between domains is
	// expensive.
	crossDomainDelayMs = 10
	// maxGateRefusals is the number of gates that may refuse a request before its caller is told to retry later. Gates of targets
	// that name a limit don't count while a target without one is left, up to maxLimitRefusals of them.
	maxGateRefusals  = 3
	maxLimitRefusals = 8
	// defaultRetryAfterMs is the retry delay if no gate said when capacity is expected.
	defaultRetryAfterMs clock.Millis = 300
	// targetPollInterval is how often a request that waits for a target looks for one.
	targetPollInterval = 20 * time.Millisecond
	// targetWaitDivisor gives the longest wait for a target as a fraction of the latency objective, innerTargetWaitDivisor that
	// of an inner call as a fraction of the time left.
	targetWaitDivisor      = 8
	innerTargetWaitDivisor = 2
)

// Job is a request to be sent to a target.
type Job struct {
	dispatch.Context
	Method string
	URI    string
	Host   string
	Fields upstream.Fields
	// Echo is the value that targets repeat in their responses.
	Echo string
	Body []byte
	// Deadline is the time after which the caller no longer waits for the answer.
	Deadline clock.Millis
	// MaxTargets is the number of targets to which the request may be sent.
	MaxTargets  int
	ObjectiveMs clock.Millis
}

// Result is the result of a request.
type Result struct {
	Reply    dispatch.Reply
	Response *upstream.Response
	// Target is the id of the target of the last attempt.
	Target   string
	Attempts int
}

// LocalRunner runs requests on the local target.
type LocalRunner interface {
	Run(ctx context.Context, c dispatch.Context, request *upstream.Request) (dispatch.Reply, *upstream.Response)
}

// RetryBudget limits the retries of requests that may have reached a target.
type RetryBudget interface {
	// OnRequest counts a request. repeated is the probability that it is a retry or was caused by one.
	OnRequest(service string, repeated float64, now clock.Millis)
	TryRetry(service string, now clock.Millis) bool
}

// SenderConfig holds the dependencies of a Sender.
type SenderConfig struct {
	Address       string
	Incarnation   uint64
	FailureDomain string
	Clock         clock.Clock
	Values        Values
	Peers         *peers.Table
	LocalRunner   LocalRunner
	Balancer      *passage.LockedBalancer
	Placement     *Placement
	RetryBudget   RetryBudget
	Recorder      *decision.Recorder
	Random        *rand.Rand
	Logger        log.Logger
}

// Sender chooses targets and sends requests to them.
type Sender struct {
	SenderConfig
	randomMu sync.Mutex
	statuses *targetStatuses
	cold     *coldTargets
	// stopBy is the time after which this node passes on no responses, because it stops; clock.Never while it doesn't.
	stopBy atomic.Int64
	lists  candidateLists
}

// NewSender returns a sender with the given dependencies.
func NewSender(c SenderConfig) *Sender {
	s := &Sender{SenderConfig: c, statuses: newTargetStatuses(c.Logger), cold: newColdTargets(c.Logger, c.Incarnation)}
	s.stopBy.Store(int64(clock.Never))
	return s
}

// Send sends the job until a target has answered it, it must not be retried, or no target is left.
func (s *Sender) Send(ctx context.Context, j Job) Result {
	begin := s.Clock.Now()
	s.RetryBudget.OnRequest(j.Service, j.Repeated, begin)
	last := Result{Reply: dispatch.Reply{Reason: call.ReasonNoTarget, Run: call.NotRun}}
	excluded := make(map[string]bool)
	tried := make(map[string]bool)
	// sent counts the targets that may have started the request, refusals the gates that did not admit it.
	sent, refusals, limitRefusals := 0, 0, 0
	mayHaveRun := false
	waitUntil := begin + maxTargetWait(j, begin)
	for {
		if !s.mayFinish(j.Class, j.ObjectiveMs) {
			if last.Reply.Run == call.NotRun {
				last.Reply = refusal(call.ReasonLeaving, 0).Reply
				last.Reply.RetryAfterMs = leavingRetryAfterMs
			}
			return s.finalResult(last, mayHaveRun)
		}
		cost := s.Placement.expect(costKey(j), s.Clock.Now())
		v, choice, ok := s.chooseTarget(j.Service, cost.MeanMs, excluded)
		if !ok && !mayHaveRun && s.waitForTarget(ctx, j, waitUntil) {
			clear(excluded)
			continue
		}
		if !ok {
			return s.finalResult(s.evacuatedResult(last, j.Service), mayHaveRun)
		}
		j.Resent = tried[v.Name]
		j.Attempt = last.Attempts
		reply, response := s.attempt(ctx, v, j, choice, cost.AgeMs)
		last = Result{Reply: reply, Response: response, Target: v.Name, Attempts: last.Attempts + 1}
		if reply.OK() {
			return last
		}
		excluded[v.Name], tried[v.Name] = true, true
		now := s.Clock.Now()
		if ctx.Err() != nil || now >= s.deadline(j) {
			return s.finalResult(last, mayHaveRun || reply.Run != call.NotRun)
		}
		if reply.Reason == call.ReasonPoisonRequest {
			return s.finalResult(last, mayHaveRun)
		}
		if reply.Reason == call.ReasonDomainEvacuated {
			s.excludeDomain(j.Service, v.FailureDomain, excluded)
		}
		if reply.Reason == call.ReasonTargetLimited {
			if limitRefusals++; limitRefusals < maxLimitRefusals && s.excludeLimited(j.Service, excluded) {
				continue
			}
		}
		if reply.Run == call.NotRun && !reply.ShedByTarget {
			if refusals++; refusals >= maxGateRefusals && reply.Reason.IsOverload() {
				return s.finalResult(last, mayHaveRun)
			}
			continue
		}
		sent++
		mayHaveRun = mayHaveRun || reply.Run != call.NotRun
		if mayHaveRun && j.Class == route.NonIdempotent || sent >= j.MaxTargets || !s.RetryBudget.TryRetry(j.Service, now) {
			return s.finalResult(last, mayHaveRun)
		}
		j.Repeated = 1
	}
}

// finalResult corrects the result of a failed request if an earlier attempt may have run it.
func (s *Sender) finalResult(r Result, mayHaveRun bool) Result {
	if mayHaveRun && r.Reply.Run == call.NotRun {
		r.Reply.Run = call.MaybeRun
		if r.Reply.Reason.HTTPStatus() == http.StatusServiceUnavailable {
			r.Reply.Reason = call.ReasonTargetFailed
		}
	}
	return r
}

// chooseTarget lets the balancer choose among the targets of the service. If none is usable, it also considers those whose nodes
// are leaving: they still serve requests that would otherwise be refused.
func (s *Sender) chooseTarget(
	service string, costMs float64, excluded map[string]bool,
) (vm.VM, balance.Choice, bool) {
	view := s.Values.View()
	if v, choice, ok := s.chooseUsableTarget(view, service, costMs, excluded, s.Peers.Usable); ok {
		return v, choice, true
	}
	return s.chooseUsableTarget(view, service, costMs, excluded, s.Peers.Reachable)
}

func (s *Sender) chooseUsableTarget(
	view *directory.View, service string, costMs float64, excluded map[string]bool, usable func(address string) bool,
) (vm.VM, balance.Choice, bool) {
	candidates := s.appendCandidates(s.lists.take(), view, service, excluded, usable)
	defer s.lists.put(candidates)
	choice, ok := s.Balancer.ChooseForCost(costMs, candidates, s.Clock.Now())
	if !ok {
		return vm.VM{}, choice, false
	}
	v, ok := view.VM(choice.Node)
	return v, choice, ok
}

// appendCandidates appends the targets of the service that may get a request.
func (s *Sender) appendCandidates(
	candidates []balance.Candidate, view *directory.View, service string, excluded map[string]bool, usable func(address string) bool,
) []balance.Candidate {
	vms := usableTargets(view, service)
	now := s.Clock.Now()
	spareCold := s.sparesCold(vms, usable, now)
	for i := range vms {
		v := &vms[i]
		if v.State != vm.Live || excluded[v.Name] || v.PeerAddress != s.Address && !usable(v.PeerAddress) {
			continue
		}
		if spareCold && !s.cold.due(lifetime(*v), now) {
			continue
		}
		c := balance.Candidate{Node: v.Name, FailureDomain: v.FailureDomain, Slots: v.Slots}
		if v.FailureDomain != s.FailureDomain {
			c.NetworkDelayMs = crossDomainDelayMs
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// waitForTarget waits before the next look for a target of the service, and reports false once a refusal helps the caller more
// than waiting.
func (s *Sender) waitForTarget(ctx context.Context, j Job, until clock.Millis) bool {
	now := s.Clock.Now()
	if view := s.Values.View(); now >= until || len(usableTargets(view, j.Service)) == 0 {
		return false
	}
	select {
	case <-time.After(targetPollInterval):
		return true
	case <-ctx.Done():
		return false
	}
}

// maxTargetWait returns how long a request may wait for a target. An inner call waits longer, because the work done for the
// request that makes it would be lost.
func maxTargetWait(j Job, now clock.Millis) clock.Millis {
	if j.Inner {
		return (j.Deadline - now) / innerTargetWaitDivisor
	}
	return j.ObjectiveMs / targetWaitDivisor
}

// attempt sends the job to one target. costAgeMs is the age of the estimate of its cost.
func (s *Sender) attempt(
	ctx context.Context, v vm.VM, j Job, choice balance.Choice, costAgeMs clock.Millis,
) (dispatch.Reply, *upstream.Response) {
	now := s.Clock.Now()
	j.Target, j.TargetStatus = v.Name, s.statuses.get(lifetime(v))
	j.Sender, j.TimeoutMs = s.Incarnation, max(0, s.deadline(j)-now)
	interval := s.coldInterval(j.Service)
	if interval > 0 {
		published, _ := s.Values.View().Service(j.Service)
		j.ColdPerSecond = published.ColdPerSecond
		s.cold.sent(v, interval, now)
	}
	s.Balancer.StartedWork(v.Name, choice.Work.CostMs, now)
	start := time.Now()
	reply, response := s.deliver(ctx, v, j)
	result := balance.CallResult{
		LatencyMs: float64(time.Since(start).Microseconds()) / 1000,
		Failed:    isTargetFailure(reply),
		Refused:   !reply.OK() && reply.Run == call.NotRun,
		CostMs:    choice.Work.CostMs, TargetMs: reply.TargetMs,
	}
	if reply.Load.Limit > 0 {
		load := reply.Load
		result.Load = &load
	}
	end := s.Clock.Now()
	s.Balancer.Finished(v.Name, result, end)
	s.statuses.record(lifetime(v), reply, end)
	s.Placement.observe(j, reply, end)
	if interval > 0 {
		s.cold.replied(v, reply, interval, end)
	}
	s.Recorder.Record(decision.Decision{
		AtMs: end, Part: decision.PartPassage, RequestID: j.RequestID, Account: j.Account, Route: j.Route,
		Action: "request sent to target", Node: v.Name, Reason: reply.Reason, Attempt: j.Attempt,
		WaitMs: clock.Millis(choice.WaitMs), FactAgeMs: choice.LoadAgeMs, ElapsedMs: end - now,
		Cost: decision.NewCost(choice.Work, costAgeMs),
	})
	return reply, response
}

// isTargetFailure reports whether the reply indicates a fault of the target or its node.
func isTargetFailure(r dispatch.Reply) bool {
	switch r.Reason {
	case call.ReasonNodeUnreachable, call.ReasonNoTarget, call.ReasonTargetDown, call.ReasonTargetFailed,
		call.ReasonAnswerMismatch, call.ReasonAnswerOversized:
		return true
	default:
		return r.ShedByTarget
	}
}

func (s *Sender) deliver(ctx context.Context, v vm.VM, j Job) (dispatch.Reply, *upstream.Response) {
	request := &upstream.Request{
		Method: j.Method, URI: j.URI, Host: j.Host, Fields: j.Fields, Echo: j.Echo, Body: j.Body,
	}
	if v.PeerAddress == s.Address {
		request.Header = make(http.Header)
		return s.LocalRunner.Run(ctx, j.Context, request)
	}
	encoded, err := dispatch.Encode(j.Context)
	if err != nil {
		return dispatch.Reply{Reason: call.ReasonInternalError, Run: call.NotRun}, nil
	}
	request.Extra = upstream.HeaderField{Name: dispatch.ContextHeader, Value: encoded}
	response, err := s.Peers.Get(v.PeerAddress).Do(ctx, request, j.Class == route.Lookup)
	if err != nil {
		return replyForError(ctx, err), nil
	}
	reply, err := dispatch.Decode[dispatch.Reply](response.Header.Get(dispatch.ReplyHeader))
	if err != nil {
		response.Close()
		return replyForStatus(response.Status), nil
	}
	response.Header.Del(dispatch.ReplyHeader)
	if !reply.OK() {
		response.Close()
		return reply, nil
	}
	return reply, response
}

// replyForStatus interprets a response without a reply header. A stopping node ends idle connections with status 408; a request
// that was sent at the same moment was not read. Nor was one whose header the node found too large.
func replyForStatus(status int) dispatch.Reply {
	switch status {
	case http.StatusRequestTimeout:
		return dispatch.Reply{Reason: call.ReasonLeaving, Run: call.NotRun}
	case http.StatusRequestHeaderFieldsTooLarge:
		return dispatch.Reply{Reason: call.ReasonNodeUnreachable, Run: call.NotRun}
	default:
		return dispatch.Reply{Reason: call.ReasonNodeUnreachable, Run: call.MaybeRun}
	}
}

// replyForError classifies the error of a request to another node.
func replyForError(ctx context.Context, err error) dispatch.Reply {
	var requestErr *upstream.RequestError
	notSent := errors.As(err, &requestErr) && !requestErr.Sent
	reply := dispatch.Reply{Reason: call.ReasonNodeUnreachable, Run: call.MaybeRun}
	if notSent {
		reply.Run = call.NotRun
	}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply.Reason = call.ReasonDeadlineExceeded
	case ctx.Err() != nil:
		reply.Reason = call.ReasonCallerGone
	}
	return reply
}

// RetryAfter returns the retry delay for a caller, randomized between 0.5 and 1.5 times the expected wait, so that callers
// refused together do not retry together.
func (s *Sender) RetryAfter(expected clock.Millis) clock.Millis {
	if expected <= 0 {
		expected = defaultRetryAfterMs
	}
	s.randomMu.Lock()
	defer s.randomMu.Unlock()
	return max(1, clock.Millis(float64(expected)*(0.5+s.Random.Float64())))
}
