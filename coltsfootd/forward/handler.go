package forward

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/drain"
	"coltsfootusher.example/coltsfootd/message"
	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/bottleneck"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dialect"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/intake"
	"coltsfootusher.example/core/route"
)

const (
	// defaultTimeoutMs limits a request for which neither the caller nor the route sets a timeout.
	defaultTimeoutMs clock.Millis = 10_000
	// notReadyRetryAfterMs is the retry delay sent by a node that is not ready.
	notReadyRetryAfterMs clock.Millis = 500
	// leavingRetryAfterMs is the retry delay sent by a stopping node. Another node can answer at once.
	leavingRetryAfterMs clock.Millis = 100
	// defaultMaxBodyBytes limits a body if the published values set no limit.
	defaultMaxBodyBytes = 1 << 20
)

// Dialect reads and writes the headers that callers use.
type Dialect interface {
	ReadCaller(h http.Header) dialect.CallerRequest
	DropCaller(h http.Header)
	EchoHeader() string
	// WriteRetryAfter tells a caller when to retry.
	WriteRetryAfter(h http.Header, after clock.Millis)
}

// Values provides the published values and the age of their confirmation.
type Values interface {
	View() *directory.View
	Age() clock.Millis
	Fresh() bool
}

// LatencyObserver records how long requests took.
type LatencyObserver interface {
	Observe(class route.Class, outcome metric.Outcome, took clock.Millis)
}

// InnerCalls provides data on the requests that the local target runs, and counts those of its inner calls that were refused for
// lack of capacity.
type InnerCalls interface {
	RecordInnerRefusal()
	// ObserveDownstream records the utilization of the services that an inner call used.
	ObserveDownstream(report bottleneck.Report)
	// RetryFraction returns the fraction of the running requests that are retries or were caused by retries.
	RetryFraction() float64
}

// Splitter chooses one of the services of a route.
type Splitter interface {
	Choose(r route.Route) string
}

// Config holds the settings and dependencies of a Handler.
type Config struct {
	// Service is the service of the local target. It counts as the caller of the requests that originate at this node.
	Service string
	// StaleAfterMs is the age of the confirmation above which an unknown route or key may have been published since.
	StaleAfterMs clock.Millis
	Clock        clock.Clock
	Dialect      Dialect
	Values       Values
	Admission    Admission
	Splitter     Splitter
	InnerCalls   InnerCalls
	Latency      LatencyObserver
	Sender       *Sender
	Recorder     *decision.Recorder
	Bodies       *body.Budget
}

// Handler accepts the requests of callers and of the local target.
type Handler struct {
	Config
	closeConnections atomic.Bool
	refuseCallers    atomic.Bool
}

// New returns a handler with these dependencies.
func New(c Config) *Handler {
	return &Handler{Config: c}
}

// CloseConnections makes the handler close each connection after its response.
func (h *Handler) CloseConnections() {
	h.closeConnections.Store(true)
}

// RefuseCallers makes the handler refuse new requests of callers. Calls of the local target are still sent, because the requests
// that it runs need them.
func (h *Handler) RefuseCallers() {
	h.refuseCallers.Store(true)
}

// inboundRequest is a request with what was determined about it.
type inboundRequest struct {
	request    *http.Request
	writer     http.ResponseWriter
	caller     dialect.CallerRequest
	receivedAt clock.Millis
	view       *directory.View
	route      route.Route
	account    account.Account
	priority   int
	timeout    clock.Millis
	fields     upstream.Fields
	body       *body.Body
	inner      bool
}

// outcome is the result of a request at the node where it originated.
type outcome struct {
	Result
	// retryAfter is the retry delay sent with a refusal; 0 means none.
	retryAfter clock.Millis
}

func refusal(reason call.Reason, retryAfter clock.Millis) outcome {
	return outcome{Result: Result{Reply: dispatch.Reply{Reason: reason, Run: call.NotRun}}, retryAfter: retryAfter}
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	in := &inboundRequest{
		request: request, writer: w, receivedAt: h.Clock.Now(), caller: h.Dialect.ReadCaller(request.Header),
	}
	if h.closeConnections.Load() || h.Admission.Sockets.NearlyExhausted() {
		w.Header().Set("Connection", "close")
	}
	in.fields = message.TakeFields(request, h.dropFields)
	drain.HeaderHeld(request, message.HeldBytes(request, in.fields))
	defer func() { in.body.Release() }()
	o := h.handle(in)
	h.record(in, o)
	if o.Response != nil {
		message.WriteResponse(w, o.Response)
		return
	}
	h.writeRefusal(w, in, o)
}

// dropFields removes the headers that callers can't set for targets or other nodes.
func (h *Handler) dropFields(header http.Header) {
	h.Dialect.DropCaller(header)
	header.Del(dispatch.ContextHeader)
}

func (h *Handler) writeRefusal(w http.ResponseWriter, in *inboundRequest, o outcome) {
	status := o.Reply.Reason.HTTPStatus()
	if o.Reply.Run != call.NotRun && statusPromisesNotRun(status) {
		status = http.StatusBadGateway
	}
	if o.Reply.Run == call.NotRun && o.Reply.Reason != call.ReasonInternalError &&
		(status >= http.StatusInternalServerError || o.Reply.Reason == call.ReasonPoisonRequest) {
		status = http.StatusServiceUnavailable
	}
	header := w.Header()
	if in.caller.RequestID != "" {
		header.Set(h.Dialect.EchoHeader(), in.caller.RequestID)
	}
	if statusPromisesNotRun(status) && o.retryAfter > 0 {
		h.Dialect.WriteRetryAfter(header, o.retryAfter)
	}
	header.Set("Coltsfoot-Reason", string(o.Reply.Reason))
	header["Date"] = nil
	header["Content-Type"] = nil
	w.WriteHeader(status)
}

// statusPromisesNotRun reports whether callers may rely on the status to mean that the request was not run.
func statusPromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// handle checks a request and, if it is admitted, sends it to a target.
func (h *Handler) handle(in *inboundRequest) outcome {
	if o := h.check(in); o.Reply.Reason != "" {
		return o
	}
	if reason := h.readBody(in); reason != "" {
		return refusal(reason, h.Sender.RetryAfter(overloadRetryAfterMs))
	}
	if drain.CallerGone(in.request) {
		return refusal(call.ReasonCallerGone, 0)
	}
	drain.RequestComplete(in.request)
	ctx, cancel := context.WithTimeout(in.request.Context(), in.timeout.Duration())
	o := h.admitAndSend(ctx, in)
	if o.Response == nil {
		cancel()
		return o
	}
	o.Response.OnClose(cancel)
	return o
}

// check resolves the request. The result has a reason if the request is refused before its body is read.
func (h *Handler) check(in *inboundRequest) outcome {
	if in.view = h.Values.View(); in.view == nil {
		return refusal(call.ReasonNotReady, notReadyRetryAfterMs)
	}
	if reason := h.resolve(in); reason != "" {
		if (reason == call.ReasonRouteUnknown || reason == call.ReasonKeyUnknown) && h.Values.Age() > h.StaleAfterMs {
			reason = call.ReasonConfirmTimeout
		}
		return refusal(reason, notReadyRetryAfterMs)
	}
	if h.refuseCallers.Load() && (!in.inner || !h.Sender.mayFinish(in.route.Class, in.route.ObjectiveMs)) {
		return refusal(call.ReasonLeaving, leavingRetryAfterMs)
	}
	if in.account.ID != "" && !h.Values.Fresh() {
		return refusal(call.ReasonConfirmTimeout, notReadyRetryAfterMs)
	}
	return outcome{}
}

// resolve determines the route, client account, priority and timeout of the request.
func (h *Handler) resolve(in *inboundRequest) call.Reason {
	path, _, _ := strings.Cut(in.request.RequestURI, "?")
	host, _, _ := strings.Cut(in.request.Host, ":")
	matched, ok := in.view.RouteForHost(host, path)
	if !ok {
		return call.ReasonRouteUnknown
	}
	if matched.Blocked {
		return call.ReasonRouteClosed
	}
	in.route, in.priority = matched, matched.Priority
	if reason := h.authenticate(in); reason != "" {
		return reason
	}
	if in.account.Priority != nil {
		in.priority = *in.account.Priority
	}
	in.inner = matched.Open && !in.caller.HasKey
	in.timeout = matched.TimeoutMs
	if in.timeout <= 0 {
		in.timeout = defaultTimeoutMs
	}
	if in.caller.TimeoutMs > 0 {
		in.timeout = min(in.timeout, in.caller.TimeoutMs)
	}
	return ""
}

func (h *Handler) authenticate(in *inboundRequest) call.Reason {
	if !in.view.KeysRequired {
		return ""
	}
	known, ok := in.view.AccountByKey(in.caller.Key)
	switch {
	case in.caller.Key != "" && ok:
		in.account = known
		return ""
	case in.route.Open:
		return ""
	case !in.caller.HasKey:
		return call.ReasonKeyMissing
	case in.view.AccountsIncomplete:
		// The key may belong to an account whose row can't be read, and callers take the reason for an unknown key as final.
		return call.ReasonNotReady
	default:
		return call.ReasonKeyUnknown
	}
}

// readBody reads the whole body, because a request that did not run may have to be sent to another target.
func (h *Handler) readBody(in *inboundRequest) call.Reason {
	limit := in.view.Bounds.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(in.writer)
	var err error
	if in.request.ContentLength != 0 {
		// After the timeout of the request its caller no longer waits for an answer.
		deadline := time.Now().Add((in.receivedAt + in.timeout - h.Clock.Now()).Duration())
		if err = control.SetReadDeadline(deadline); err != nil {
			return call.ReasonInternalError
		}
	}
	if in.body, err = h.Bodies.Read(in.request.Body, in.request.ContentLength, limit); err != nil {
		return body.Reason(in.request.Context(), err)
	}
	message.DropTrailer(in.request)
	if in.request.ContentLength != 0 {
		if err = control.SetReadDeadline(time.Time{}); err != nil {
			return call.ReasonInternalError
		}
	}
	return ""
}

// admitAndSend sends the request to a target if it is admitted.
func (h *Handler) admitAndSend(ctx context.Context, in *inboundRequest) outcome {
	request := AdmissionRequest{
		Account: in.account, Limited: in.account.ID != "" && !in.route.Open, Urgent: in.route.Class == route.NonIdempotent,
		Throttled: in.route.Class == route.Lookup && !in.inner,
		Lookup:    intake.Call{Route: in.route.Host + in.route.Prefix, TimeoutMs: in.caller.TimeoutMs},
		Inner:     in.inner,
	}
	request.Chain = bottleneck.Request{
		Route: request.Lookup.Route, Rank: in.priority, Idempotent: in.route.Class == route.Lookup,
	}
	if reason, retryAfter := h.Admission.Admit(ctx, request); reason != "" {
		return refusal(reason, h.Sender.RetryAfter(retryAfter))
	}
	job := h.newJob(in)
	result := h.Sender.Send(ctx, job)
	h.Admission.Done(request, job.Service, result)
	if in.inner {
		h.InnerCalls.ObserveDownstream(result.Reply.ChainReport(job.Service))
	}
	if in.inner && failedForOverload(result) {
		h.InnerCalls.RecordInnerRefusal()
	}
	o := outcome{Result: result}
	if result.Reply.Run == call.NotRun {
		o.retryAfter = h.Sender.RetryAfter(result.Reply.RetryAfterMs)
	}
	return o
}

func (h *Handler) newJob(in *inboundRequest) Job {
	repeated := 0.0
	if in.inner {
		repeated = h.InnerCalls.RetryFraction()
	}
	return Job{
		Context: dispatch.Context{
			RequestID: decision.ShortID(in.caller.RequestID), Service: h.Splitter.Choose(in.route),
			Route: decision.ShortRoute(in.route.Host + in.route.Prefix),
			Class: in.route.Class, Account: in.account.ID, Caller: h.Service, Priority: in.priority, Inner: in.inner, Repeated: repeated,
		},
		Method: in.request.Method, URI: in.request.RequestURI, Host: in.request.Host, Fields: in.fields,
		Echo: in.caller.RequestID, Body: in.body.Bytes,
		Deadline: in.receivedAt + in.timeout, MaxTargets: max(1, in.route.MaxTargets), ObjectiveMs: in.route.ObjectiveMs,
	}
}

func (h *Handler) record(in *inboundRequest, o outcome) {
	now := h.Clock.Now()
	h.Latency.Observe(in.route.Class, metricOutcome(o), now-in.receivedAt)
	action := "request answered"
	if o.Response == nil {
		action = "request refused or failed"
	}
	h.Recorder.Record(decision.Decision{
		AtMs: now, Part: decision.PartEntry, RequestID: in.caller.RequestID, Account: in.account.ID,
		Route: in.route.Host + in.route.Prefix, Action: action, Node: o.Target, Reason: o.Reply.Reason, Attempt: o.Attempts,
		FactAgeMs: ageOrUnknown(h.Values.Age()), ElapsedMs: now - in.receivedAt, WaitMs: o.retryAfter,
	})
}

func metricOutcome(o outcome) metric.Outcome {
	return metric.OutcomeOf(call.Result{Reason: o.Reply.Reason, RunStatus: o.Reply.Run})
}

func ageOrUnknown(age clock.Millis) clock.Millis {
	if age == clock.Never {
		return -1
	}
	return age
}

var _ Values = (*directory.Directory)(nil)
