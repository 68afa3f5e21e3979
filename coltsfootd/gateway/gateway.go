package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net/http"
	"time"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/inflight"
	"coltsfootusher.example/coltsfootd/transport"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/retry"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/service"
)

// Snapshots returns the published configuration in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Confirmation delays requests until the node's copy of the published configuration is confirmed to be current.
type Confirmation interface {
	Wait(ctx context.Context) error
}

// Operations runs non-idempotent operations at most once and stores their outcomes.
type Operations interface {
	// Run waits for the outcome until ctx ends. The context of execute has a time limit but is not cancelled with ctx.
	Run(ctx context.Context, c call.Call, execute func(ctx context.Context) answer.Answer) answer.Answer
}

// Suspects identifies requests that crash targets.
type Suspects interface {
	// Enter waits until the request may run; the reason says why it may not. If the reason is empty, Leave must be called.
	Enter(ctx context.Context, c call.Call) (poison.Ticket, call.Reason)
	Leave(ticket poison.Ticket, end poison.Outcome)
	// Crashes returns the known crashes of targets that ran the request.
	Crashes(fingerprint uint64) []poison.Crash
}

// Config holds the dependencies of a Gateway.
type Config struct {
	Node         string
	Incarnation  uint64
	Service      string
	Clock        clock.Clock
	Snapshots    Snapshots
	Confirmation Confirmation
	Operations   Operations
	Suspects     Suspects
	Admission    *Admission
	Target       *Target
	InFlight     *inflight.Table
	Recorder     *decision.Recorder
}

// Gateway sends calls to the local target; all calls to that target pass through it.
type Gateway struct {
	Config
}

// New returns a gateway with these dependencies.
func New(config Config) *Gateway {
	return &Gateway{Config: config}
}

// Serve admits the call, runs it at the local target and returns the checked answer.
func (g *Gateway) Serve(ctx context.Context, c call.Call, header http.Header, body []byte) answer.Answer {
	received := g.Clock.Now()
	a := g.serve(ctx, c, header, body, received)
	a.Result.Node = g.Node
	a.Result.Incarnation = g.Incarnation
	a.Result.Load = g.Admission.Load()
	a.Result.Crashes = g.Suspects.Crashes(c.Fingerprint)
	if !a.FromTarget() {
		g.record(c, "call refused by gate", a.Result.Reason, received)
	}
	return a
}

func (g *Gateway) serve(ctx context.Context, c call.Call, header http.Header, body []byte, received clock.Millis) answer.Answer {
	if c.Service != g.Service {
		return refuse(c, call.ReasonNoTarget)
	}
	if c.TimeoutMs <= 0 {
		return refuse(c, call.ReasonDeadlineExceeded)
	}
	deadline := received + c.TimeoutMs
	ctx, cancel := context.WithTimeout(ctx, c.TimeoutMs.Duration())
	defer cancel()
	if err := g.Confirmation.Wait(ctx); err != nil {
		return refuse(c, call.ReasonConfirmTimeout)
	}
	execute := func(ctx context.Context) answer.Answer {
		return g.admit(ctx, c, header, body, deadline)
	}
	if c.Class == route.NonIdempotent {
		a := g.Operations.Run(ctx, c, execute)
		a.Result.RetryAllowanceLeft = min(a.Result.RetryAllowanceLeft, c.RetryAllowance)
		return a
	}
	return execute(ctx)
}

func (g *Gateway) admit(ctx context.Context, c call.Call, header http.Header, body []byte, deadline clock.Millis) answer.Answer {
	waiting, cancel := context.WithTimeout(ctx, max(0, deadline-g.Clock.Now()).Duration())
	defer cancel()
	ticket, reason := g.Suspects.Enter(waiting, c)
	if reason != "" {
		return refuse(c, reason)
	}
	end := poison.Cancelled
	defer func() { g.Suspects.Leave(ticket, end) }()

	entered := g.Clock.Now()
	d := g.Admission.Admit(waiting, g.gateRequest(c, entered, deadline))
	if !d.Admitted {
		a := refuse(c, d.Reason)
		a.Result.RetryAfterMs = d.RetryAfterMs
		return a
	}
	g.record(c, "call admitted", "", entered)
	if c.Class == route.NonIdempotent {
		// An operation that has started continues after its caller's deadline, until ctx ends.
		deadline = g.Clock.Now() + transport.Remaining(ctx, c.TimeoutMs)
	} else {
		ctx = waiting
	}
	a := g.runAtTarget(ctx, d.ID, c, header, body, deadline)
	end = poisonOutcome(a)
	return a
}

func (g *Gateway) gateRequest(c call.Call, now, deadline clock.Millis) gate.Request {
	weight := 1.0
	if a, ok := g.Snapshots.Current().Account(c.Account); ok && a.Weight > 0 {
		weight = a.Weight
	}
	class := c.Class
	if c.InNonIdempotentOperation {
		// A lookup that an operation depends on has the operation's class: if it is refused, the operation fails.
		class = route.NonIdempotent
	}
	return gate.Request{
		Account: c.Account, Weight: weight, Class: class, Depth: c.Depth, Arrival: now, Deadline: deadline,
	}
}

func (g *Gateway) runAtTarget(
	ctx context.Context, id uint64, c call.Call, header http.Header, body []byte, deadline clock.Millis,
) answer.Answer {
	done := make(chan struct{})
	defer close(done)
	parent := &inflight.Parent{Call: c, Deadline: deadline, Allowance: retry.NewAllowance(c.RetryAllowance), Done: done}
	handle, err := g.InFlight.Add(parent)
	if err != nil {
		g.Admission.Done(id, gate.Sample{Cancelled: true})
		return refuse(c, call.ReasonInternalError)
	}
	defer g.InFlight.Remove(handle)

	start := time.Now()
	a := g.Target.Do(ctx, c, handle, header, body, deadline-g.Clock.Now())
	g.Admission.Done(id, gate.Sample{
		LatencyMs: float64(time.Since(start).Microseconds()) / 1000,
		Failed:    !a.FromTarget() || a.Status >= http.StatusInternalServerError,
		Cancelled: a.Result.Reason == call.ReasonCallerGone,
	})
	a.Result.RetryAllowanceLeft = parent.Allowance.TakeAll()
	setInnerReason(a, parent)
	return a
}

// poisonOutcome classifies an answer by whether the request may have crashed the target.
func poisonOutcome(a answer.Answer) poison.Outcome {
	switch {
	case a.FromTarget():
		return poison.Completed
	case a.Result.Reason == call.ReasonTargetFailed || a.Result.Reason == call.ReasonAnswerTruncated:
		return poison.Failed
	default:
		return poison.Cancelled
	}
}

// setInnerReason sets the reason for which an inner call was refused on a 5xx answer of the target.
func setInnerReason(a answer.Answer, parent *inflight.Parent) {
	if a.Header == nil {
		return
	}
	a.Header.Del(answer.InnerReasonHeader)
	if reason := parent.Refusal(); reason != "" && a.Status >= http.StatusInternalServerError {
		a.Header.Set(answer.InnerReasonHeader, string(reason))
	}
}

func (g *Gateway) record(c call.Call, action string, reason call.Reason, since clock.Millis) {
	now := g.Clock.Now()
	g.Recorder.Record(decision.Decision{
		AtMs: now, Part: decision.PartGate, RequestID: c.RequestID, Account: c.Account, Route: c.Route, Action: action,
		Node: g.Node, Reason: reason, Attempt: c.Attempt, Depth: c.Depth, WaitMs: now - since,
	})
}

// refuse returns a refusal that returns the call's whole retry allowance.
func refuse(c call.Call, reason call.Reason) answer.Answer {
	a := answer.Refuse(reason)
	a.Result.RetryAllowanceLeft = c.RetryAllowance
	return a
}

// NewGate returns a gate with a fixed limit, the published number of slots, and one slot until it is configured.
//
// An adaptive limit below the number of slots is not used: when a service at the end of a call chain slows down, the calls of
// the services before it hold their slots longer although those services are not congested, and a lower limit would waste
// their capacity.
func NewGate(seed uint64, now clock.Millis) *gate.Gate {
	return gate.New(gate.Config{Enabled: true}, gate.FixedLimiter(math.MaxInt32), rand.New(rand.NewPCG(seed, seed)), now)
}

// ConfigUpdate returns a change for Admission.Update that applies the published service and the active preset.
func ConfigUpdate(svc service.Service, p preset.Preset) func(g *gate.Gate, now clock.Millis) []gate.Decision {
	return func(g *gate.Gate, now clock.Millis) []gate.Decision {
		return g.Configure(gate.Config{
			Slots: svc.SlotsPerTarget, QueueLimit: p.QueueLimit, QueueTimeoutMs: p.QueueTimeoutMs,
			ColdStartMs: svc.ColdStartMs, Enabled: p.Policy == preset.On,
		}, now)
	}
}
