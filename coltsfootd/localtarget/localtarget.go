package localtarget

import (
	"context"
	"errors"
	"expvar"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"

	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/bottleneck"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dialect"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/poison"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/targetstatus"
	"coltsfootusher.example/core/vm"
)

// Dialect reads and writes the headers of targets.
type Dialect interface {
	// DropCaller removes the headers of a caller that must not be passed to targets.
	DropCaller(h http.Header)
	WriteTarget(h http.Header, t dialect.TargetRequest)
	ReadTarget(status int, h http.Header) dialect.TargetAnswer
}

// Views returns the published values in force.
type Views interface {
	View() *directory.View
}

// Config holds the dependencies of a Runner.
type Config struct {
	Clock      clock.Clock
	Dialect    Dialect
	Views      Views
	Admission  *gateway.Admission
	Pool       *upstream.Pool
	Recorder   *decision.Recorder
	Sockets    Sockets
	Bodies     *body.Budget
	CrashGuard CrashGuard
	// FailureDomain is that of the local target.
	FailureDomain string
	// Health checks the target when its state is in doubt.
	Health *HealthProber
	Logger log.Logger
}

// CrashGuard identifies requests that crash the target.
type CrashGuard interface {
	// Enter reports whether the request may be sent to the target. If it may, Leave must be called.
	Enter(fingerprint uint64) (poison.Ticket, bool)
	Leave(ticket poison.Ticket, fingerprint uint64, end poison.Outcome)
}

// Sockets reports whether the process is about to run out of connections.
type Sockets interface {
	NearlyExhausted() bool
}

// Runner runs requests at the local target.
type Runner struct {
	Config
	absentTargets   absentTargets
	senderDeadlines senderDeadlines
	retries         retryGauge
	status          *statusMonitor
	limits          rateLimits
	warmup          *warmupMonitor
	downstream      *bottleneck.Downstream
	// lastInnerRefusal is the time of the latest refusal of an inner call of the target.
	lastInnerRefusal atomic.Int64
}

// New returns a runner with these dependencies.
func New(c Config) *Runner {
	r := &Runner{Config: c, downstream: bottleneck.NewDownstream()}
	r.status = newStatusMonitor(c.Logger, r.applyLimit, c.Clock.Now())
	r.warmup = newWarmupMonitor(c.Logger, c.Clock.Now())
	c.Pool.OnLost(r.idleConnectionsLost)
	return r
}

// applyLimit limits the requests that the gate starts per second to what the target accepts.
func (r *Runner) applyLimit(s targetstatus.Status) {
	r.applyLimits(func(l *rateLimits) { l.stated = s })
}

// Publish exports the counters and the status of the target, whose id target returns, as metrics.
func (r *Runner) Publish(metrics *expvar.Map, target func() string) {
	r.status.publish(metrics, func() targetstatus.Lifetime { return r.lifetime(target()) })
	r.warmup.publish(metrics, r.Clock.Now)
}

// listed returns the target's entry in the target list, or an empty one and false if the list does not contain it.
func (r *Runner) listed(target string) (vm.VM, bool) {
	v := r.Views.View()
	if v == nil {
		return vm.VM{}, false
	}
	return v.VM(target)
}

// lifetime returns the lifetime of the target that the target list shows.
func (r *Runner) lifetime(target string) targetstatus.Lifetime {
	own, _ := r.listed(target)
	return targetstatus.Lifetime{Target: target, StartedMs: own.StartedMs}
}

// RecordInnerRefusal records that an inner call of the local target was refused because the called service is overloaded.
func (r *Runner) RecordInnerRefusal() {
	r.lastInnerRefusal.Store(int64(r.Clock.Now()))
}

// RetryFraction returns the expected fraction of retries, and of inner calls of retries, among the running requests.
func (r *Runner) RetryFraction() float64 {
	return r.retries.fraction()
}

// innerRefused reports whether the target answered with a 5xx status and one of its inner calls was refused since then.
// Inner calls don't name the request to which they belong, so the refused call may belong to another request.
func (r *Runner) innerRefused(response *upstream.Response, since clock.Millis) bool {
	return response != nil && response.Status >= http.StatusInternalServerError && clock.Millis(r.lastInnerRefusal.Load()) >= since
}

// Run admits the request, runs it at the target and returns the reply and, if the target answered, its response.
func (r *Runner) Run(ctx context.Context, c dispatch.Context, request *upstream.Request) (dispatch.Reply, *upstream.Response) {
	received := r.Clock.Now()
	reply, response := r.run(ctx, c, request, received)
	reply.Load = r.Admission.Load()
	if s := r.status.status(r.lifetime(c.Target)); s != (targetstatus.Status{}) {
		reply.TargetStatus = &s
		reply.Load.Leaving = reply.Load.Leaving || s.Leaving
	}
	reply.ColdMs = r.warmup.leftMs(r.Clock.Now())
	reply.Bottleneck = r.bottleneck()
	r.record(c, reply, received)
	return reply, response
}

func (r *Runner) run(
	ctx context.Context, c dispatch.Context, request *upstream.Request, received clock.Millis,
) (dispatch.Reply, *upstream.Response) {
	if c.TargetStatus != nil {
		r.status.adopt(r.lifetime(c.Target), *c.TargetStatus, received)
	}
	if reason := r.arrivalRefusal(c.Target); reason != "" {
		return refuse(reason), nil
	}
	r.beforeAdmission(c)
	deadline := r.senderDeadlines.limit(c.Sender, received+c.TimeoutMs)
	d := r.admit(ctx, c, len(request.Body), received, deadline)
	if !d.Admitted {
		if d.Reason == call.ReasonTargetLimited {
			r.limitRefused()
		}
		reply := refuse(d.Reason)
		reply.RetryAfterMs = d.RetryAfterMs
		return reply, nil
	}
	start := time.Now()
	admitted := r.Clock.Now()
	if d.Waited {
		if reason := r.waitingRefusal(c.Target); reason != "" {
			r.Admission.Done(d.ID, gate.Sample{Cancelled: true})
			return refuse(reason), nil
		}
	}
	// The sender may have begun to stop while the request waited.
	deadline = r.senderDeadlines.limit(c.Sender, deadline)
	request.Epoch = d.RateEpoch
	var sample gate.Sample
	reply, response := r.runAtTarget(ctx, c, request, deadline-r.Clock.Now(), &sample)
	reply.TargetMs = float64(time.Since(start).Microseconds()) / 1000
	reply.InnerRefused = r.innerRefused(response, admitted)
	sample.LatencyMs = reply.TargetMs
	sample.Failed = !reply.OK() || response.Status >= http.StatusInternalServerError
	sample.Cancelled = errors.Is(ctx.Err(), context.Canceled)
	if response == nil {
		r.Admission.Done(d.ID, sample)
		return reply, nil
	}
	response.OnClose(func() { r.Admission.Done(d.ID, sample) })
	return reply, response
}

func (r *Runner) admit(ctx context.Context, c dispatch.Context, bodyBytes int, now, deadline clock.Millis) gate.Decision {
	class := c.Class
	depth := 0
	if c.Inner {
		// Refusing an inner call wastes the work of the request that made it, so inner calls have precedence.
		class, depth = route.NonIdempotent, 1
	}
	return r.Admission.Admit(ctx, gate.Request{
		Account: c.Account, Class: class, Depth: depth, Arrival: now, Deadline: deadline, Target: c.Target,
		Sender: c.Sender, Route: c.Route, BodyBytes: bodyBytes,
	})
}

// runAtTarget sends an admitted request to the target. It records in the sample what the target's answer says of its load.
func (r *Runner) runAtTarget(
	ctx context.Context, c dispatch.Context, request *upstream.Request, left clock.Millis, sample *gate.Sample,
) (dispatch.Reply, *upstream.Response) {
	if left <= 0 {
		return refuse(call.ReasonDeadlineExceeded), nil
	}
	fingerprint := poison.Fingerprint(c.Account, c.Route, request.Method, request.URI, poison.HashBody(request.Body))
	ticket, ok := r.CrashGuard.Enter(fingerprint)
	if !ok {
		return refuse(call.ReasonPoisonRequest), nil
	}
	if c.Class == route.NonIdempotent {
		// An operation that has started continues if its caller disconnects.
		ctx = context.WithoutCancel(ctx)
	}
	// The context is cancelled when the response is closed.
	ctx, cancel := context.WithTimeout(ctx, left.Duration())
	r.Dialect.WriteTarget(request.Header, dialect.TargetRequest{
		RequestID: c.RequestID, Target: c.Target, Account: c.Account, Caller: c.Caller, TimeoutMs: left,
	})
	r.status.countSent(r.lifetime(c.Target), r.Clock.Now())
	request.NewConn = c.Resent
	r.retries.begin(c.Repeated)
	response, err := r.doWatched(ctx, request)
	r.retries.end(c.Repeated)
	r.CrashGuard.Leave(ticket, fingerprint, poisonOutcome(ctx, err))
	if err != nil {
		defer cancel()
		return replyForError(ctx, err), nil
	}
	response.OnClose(cancel)
	said := r.Dialect.ReadTarget(response.Status, response.Header)
	if (said.FromTarget || said.NotRun) && !said.WrongTarget {
		r.status.observe(r.lifetime(c.Target), said.Status, r.Clock.Now())
		sample.Answered = true
		if said.Load != nil {
			sample.SlownessPercent = said.Load.SlownessPercent
		}
	}
	switch {
	case said.WrongTarget:
		response.Close()
		r.absentTargets.add(c.Target, r.Clock.Now())
		r.status.forget(c.Target, r.Clock.Now())
		r.targetReplaced(c.Target, request.Epoch)
		return refuse(call.ReasonNoTarget), nil
	case said.NotRun:
		response.Close()
		reply := refuse(call.ReasonOverloaded)
		reply.ShedByTarget = true
		return reply, nil
	case !said.FromTarget:
		response.Close()
		return dispatch.Reply{Reason: call.ReasonAnswerMismatch, Run: call.MaybeRun}, nil
	}
	return dispatch.Reply{Run: call.WasRun}, response
}

// poisonOutcome classifies the end of a request by whether the request may have crashed the target.
func poisonOutcome(ctx context.Context, err error) poison.Outcome {
	var failure *upstream.RequestError
	switch {
	case err == nil:
		return poison.Completed
	case ctx.Err() == nil && errors.As(err, &failure) && failure.Sent:
		return poison.Failed
	default:
		return poison.Cancelled
	}
}

func refuse(reason call.Reason) dispatch.Reply {
	return dispatch.Reply{Reason: reason, Run: call.NotRun}
}

// replyForError returns the reply for an error, by whether the target may have received the request.
func replyForError(ctx context.Context, err error) dispatch.Reply {
	var failure *upstream.RequestError
	if errors.Is(err, upstream.ErrWithdrawn) {
		return refuse(call.ReasonTargetLimited)
	}
	if errors.As(err, &failure) && !failure.Sent {
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return refuse(call.ReasonDeadlineExceeded)
		}
		return refuse(call.ReasonTargetDown)
	}
	reply := dispatch.Reply{Reason: call.ReasonTargetFailed, Run: call.MaybeRun}
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		reply.Reason = call.ReasonDeadlineExceeded
	case ctx.Err() != nil:
		reply.Reason = call.ReasonCallerGone
	case errors.Is(err, upstream.ErrResponseTooLarge):
		reply.Reason = call.ReasonAnswerOversized
	case errors.Is(err, syscall.ECONNREFUSED):
		reply.Reason = call.ReasonTargetDown
	}
	return reply
}

func (r *Runner) record(c dispatch.Context, reply dispatch.Reply, received clock.Millis) {
	action := "request run by target"
	if !reply.OK() {
		action = "request not answered by target"
	}
	now := r.Clock.Now()
	r.Recorder.Record(decision.Decision{
		AtMs: now, Part: decision.PartGate, RequestID: c.RequestID, Account: c.Account, Route: c.Route, Action: action,
		Node: c.Target, Reason: reply.Reason, Attempt: c.Attempt, WaitMs: reply.Load.WaitMs, FactAgeMs: -1,
		ElapsedMs: now - received,
	})
}
