package passage

import (
	"context"
	"net/http"
	"time"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/retry"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/vm"
)

// Snapshots returns the published configuration in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Peers reports which nodes may receive new calls.
type Peers interface {
	MayServe(v vm.VM) bool
}

// Operations finds the node that may run a non-idempotent operation, its home.
type Operations interface {
	// Home returns the name of the operation's home; if there is none, reason says why.
	Home(c call.Call) (node string, reason call.Reason)
	// Settle replaces an unknown outcome if another node knows the outcome of an operation whose home is gone.
	Settle(ctx context.Context, c call.Call, a answer.Answer) answer.Answer
}

// LocalGateway runs calls at the local target.
type LocalGateway interface {
	Serve(ctx context.Context, c call.Call, header http.Header, body []byte) answer.Answer
}

// Suspects keeps the requests that are suspected of crashing targets.
type Suspects interface {
	Standing(fingerprint uint64) poison.Status
	Crashes(fingerprint uint64) []poison.Crash
	Learn(fingerprint uint64, crashes []poison.Crash)
	// Runner returns the VM of the service whose target runs its suspect requests.
	Runner(service string, exclude map[string]bool) (vm.VM, bool)
}

// Config holds the dependencies of a Sender.
type Config struct {
	Node          string
	FailureDomain string
	Clock         clock.Clock
	Snapshots     Snapshots
	Peers         Peers
	Operations    Operations
	LocalGateway  LocalGateway
	Suspects      Suspects
	Client        *Client
	Balancer      Balancer
	RetryBudget   RetryBudget
	Recorder      *decision.Recorder
}

// Balancer chooses a target among candidates and tracks their load.
type Balancer interface {
	Choose(candidates []balance.Candidate, exclude map[string]bool, now clock.Millis) (balance.Choice, bool)
	Started(node string, now clock.Millis)
	Finished(node string, report balance.CallResult, now clock.Millis)
}

// RetryBudget limits the retries of a node.
type RetryBudget interface {
	OnSuccess(now clock.Millis)
	TrySpend(now clock.Millis) bool
}

// Sender sends calls to targets.
type Sender struct {
	Config
}

// New returns a sender with these dependencies.
func New(config Config) *Sender {
	return &Sender{Config: config}
}

// Request is a call with its header and body.
type Request struct {
	Call   call.Call
	Header http.Header
	Body   []byte
	// Deadline is the time at which the caller stops waiting for the answer.
	Deadline clock.Millis
	// Allowance is the number of retries that the call and its inner calls may still make.
	Allowance *retry.Allowance
}

// Send sends the request to a target of its service and returns the answer or a refusal. Lookups are retried.
func (s *Sender) Send(ctx context.Context, r Request) answer.Answer {
	if r.Call.Class == route.NonIdempotent {
		return s.sendToHome(ctx, r)
	}
	return s.sendLookup(ctx, r)
}

// sendToHome makes a single attempt: a non-idempotent call that may have been received is never retried.
func (s *Sender) sendToHome(ctx context.Context, r Request) answer.Answer {
	home, reason := s.Operations.Home(r.Call)
	if reason != "" {
		return markOutcomeUnknown(answer.Fail(reason))
	}
	v, ok := s.Snapshots.Current().VM(home)
	if !ok {
		return s.Operations.Settle(ctx, r.Call, markOutcomeUnknown(answer.Fail(call.ReasonNodeUnreachable)))
	}
	s.record(r.Call, "non-idempotent call sent to its home node", balance.Choice{Node: home}, "")
	a := s.attempt(ctx, v, r)
	if a.Result.Outcome == "" {
		a = markOutcomeUnknown(a)
	}
	return s.Operations.Settle(ctx, r.Call, a)
}

// markOutcomeUnknown marks an answer that does not come from the home's operation table. Only the home can tell that an operation
// was not run: even if this request was not sent, an earlier one with the same operation id may have been.
func markOutcomeUnknown(a answer.Answer) answer.Answer {
	a.Result.Outcome = call.OutcomeUnknown
	if a.Result.RunStatus == call.NotRun {
		a.Result.RunStatus = call.MaybeRun
	}
	return a
}

func (s *Sender) sendLookup(ctx context.Context, r Request) answer.Answer {
	p := s.Snapshots.Current().Presets.ActivePreset()
	if p.Policy == preset.Off {
		// With overload control off, each hop retries independently, like clients that don't share a retry allowance.
		r.Allowance = retry.NewAllowance(p.RetryAllowance)
	}
	var exclude map[string]bool
	last := answer.Refuse(call.ReasonNoTarget)
	for {
		standing := s.Suspects.Standing(r.Call.Fingerprint)
		if standing == poison.Confirmed {
			return s.refusePoisonRequest(r.Call, last)
		}
		v, choice, ok := s.chooseTarget(r.Call.Service, standing, exclude)
		if !ok {
			return last
		}
		s.record(r.Call, "target chosen", choice, "")
		a := s.attempt(ctx, v, r)
		if a.FromTarget() && (p.Policy == preset.On || a.Status < http.StatusInternalServerError) {
			s.RetryBudget.OnSuccess(s.Clock.Now())
			return a
		}
		if !s.mayRetry(ctx, r, a, p.Policy) {
			return a
		}
		a.Close()
		last = a
		if exclude == nil {
			exclude = make(map[string]bool)
		}
		exclude[v.Name] = true
		r.Call.Attempt++
	}
}

// mayRetry reports whether a failed lookup is retried at another target. Only the caller next to the failure retries: a failure
// that the target itself reported, or that came from one of its inner calls, is passed on.
func (s *Sender) mayRetry(ctx context.Context, r Request, a answer.Answer, policy preset.Policy) bool {
	if ctx.Err() != nil || s.Clock.Now() >= r.Deadline {
		return false
	}
	if policy == preset.Off {
		return r.Allowance.TrySpend()
	}
	if !a.Result.Reason.Retryable() {
		return false
	}
	return r.Allowance.TrySpend() && s.RetryBudget.TrySpend(s.Clock.Now())
}

// refusePoisonRequest refuses a request that has crashed targets; last is the answer to the previous attempt, if any.
func (s *Sender) refusePoisonRequest(c call.Call, last answer.Answer) answer.Answer {
	a := returnAllowance(answer.Refuse(call.ReasonPoisonRequest), c)
	if last.Result.RunStatus != call.NotRun {
		a.Result.RunStatus = call.MaybeRun
	}
	s.record(c, "request refused because it crashed targets", balance.Choice{}, call.ReasonPoisonRequest)
	return a
}

// chooseTarget lets the balancer choose a target. Suspect requests go to the one target of their service that runs them.
func (s *Sender) chooseTarget(
	service string, standing poison.Status, exclude map[string]bool,
) (vm.VM, balance.Choice, bool) {
	if standing == poison.Suspect {
		v, ok := s.Suspects.Runner(service, exclude)
		return v, balance.Choice{Node: v.Name, LoadAgeMs: -1}, ok
	}
	snapshot := s.Snapshots.Current()
	svc, _ := snapshot.Service(service)
	vms := snapshot.VMsOfService(service)
	candidates := make([]balance.Candidate, 0, len(vms))
	for _, v := range vms {
		if s.Peers.MayServe(v) {
			candidates = append(candidates, balance.Candidate{
				Node: v.Name, FailureDomain: v.FailureDomain, Slots: svc.SlotsPerTarget, NetworkDelayMs: s.distanceMs(v),
			})
		}
	}
	choice, ok := s.Balancer.Choose(candidates, exclude, s.Clock.Now())
	if !ok {
		return vm.VM{}, balance.Choice{}, false
	}
	v, ok := snapshot.VM(choice.Node)
	return v, choice, ok
}

// crossDomainDistanceMs is the assumed round trip time to another failure domain.
const crossDomainDistanceMs = 1

func (s *Sender) distanceMs(v vm.VM) float64 {
	if v.FailureDomain == s.FailureDomain {
		return 0
	}
	return crossDomainDistanceMs
}

// attempt sends the call once, to the local gateway or to a peer.
func (s *Sender) attempt(ctx context.Context, v vm.VM, r Request) answer.Answer {
	now := s.Clock.Now()
	c := r.Call
	c.TimeoutMs = r.Deadline - now
	if c.TimeoutMs <= 0 {
		return answer.Refuse(call.ReasonDeadlineExceeded)
	}
	if s.Snapshots.Current().Presets.ActivePreset().Policy == preset.On {
		c.RetryAllowance = takeAllowance(r)
	}
	c.Crashes = s.Suspects.Crashes(c.Fingerprint)
	s.Balancer.Started(v.Name, now)
	start := time.Now()
	a := s.deliver(ctx, v, c, r)
	s.Suspects.Learn(c.Fingerprint, a.Result.Crashes)
	r.Allowance.Return(min(a.Result.RetryAllowanceLeft, c.RetryAllowance))
	report := balance.CallResult{
		LatencyMs: float64(time.Since(start).Microseconds()) / 1000,
		Failed:    isTargetFailure(a.Result.Reason) || isUnresponsive(a, time.Since(start)),
		Refused:   !a.FromTarget() && a.Result.RunStatus == call.NotRun,
	}
	if a.Result.Node != "" {
		load := a.Result.Load
		report.Load = &load
	}
	s.Balancer.Finished(v.Name, report, s.Clock.Now())
	if !a.FromTarget() {
		s.record(c, "attempt failed", balance.Choice{Node: v.Name}, a.Result.Reason)
	}
	return a
}

func (s *Sender) deliver(ctx context.Context, v vm.VM, c call.Call, r Request) answer.Answer {
	if v.Name == s.Node {
		return s.LocalGateway.Serve(ctx, c, r.Header, r.Body)
	}
	return s.Client.Send(ctx, v, c, r.Header, r.Body)
}

// retriesKeptAtEntry is the number of retries that the entry does not pass on with the call: an allowance that was passed on is
// lost if no answer comes back, as when the receiving node crashes.
const retriesKeptAtEntry = 1

func takeAllowance(r Request) int {
	if r.Call.Depth == 0 {
		return r.Allowance.TakeAllExcept(retriesKeptAtEntry)
	}
	return r.Allowance.TakeAll()
}

func isTargetFailure(reason call.Reason) bool {
	switch reason {
	case call.ReasonNodeUnreachable, call.ReasonTargetDown, call.ReasonTargetFailed, call.ReasonAnswerTruncated,
		call.ReasonAnswerMismatch:
		return true
	default:
		return false
	}
}

// minUnresponsiveWait is the shortest wait without an answer that counts as a failure of the node. A shorter wait results from a
// short deadline of the caller and says nothing about the node.
const minUnresponsiveWait = time.Second

// isUnresponsive reports whether the node did not answer in time, as during a network partition between failure domains.
func isUnresponsive(a answer.Answer, waited time.Duration) bool {
	return a.Result.Node == "" && a.Result.Reason == call.ReasonDeadlineExceeded && waited >= minUnresponsiveWait
}

func (s *Sender) record(c call.Call, action string, choice balance.Choice, reason call.Reason) {
	s.Recorder.Record(decision.Decision{
		AtMs: s.Clock.Now(), Part: decision.PartPassage, RequestID: c.RequestID, Account: c.Account, Route: c.Route, Action: action,
		Node: choice.Node, Reason: reason, Attempt: c.Attempt, Depth: c.Depth,
		WaitMs: clock.Millis(choice.WaitMs), FactAgeMs: choice.LoadAgeMs,
	})
}

// provesNotSent reports whether err proves that no part of the request was sent. Only a dial error does: an established
// connection can also fail with EHOSTUNREACH, after the request was sent.
func provesNotSent(err error) bool {
	return transport.IsDialError(err)
}
