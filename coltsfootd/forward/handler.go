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
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dialect"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/intake"
	"coltsfootusher.example/core/route"
)

const (
	// defaultTimeoutMs bounds a request whose caller and route set no time.
	defaultTimeoutMs clock.Millis = 10_000
	// notReadyRetryAfterMs is the advice when to return to a node that is not ready.
	notReadyRetryAfterMs clock.Millis = 500
	// leavingRetryAfterMs is the advice of a node that stops; another one answers at once.
	leavingRetryAfterMs clock.Millis = 100
	// defaultMaxBodyBytes bounds a body where the published values set no limit.
	defaultMaxBodyBytes = 1 << 20
)

// Dialect speaks the headers of callers.
type Dialect interface {
	ReadCaller(h http.Header) dialect.CallerRequest
	DropCaller(h http.Header)
	EchoHeader() string
	// WriteRetryAfter tells a caller when to return.
	WriteRetryAfter(h http.Header, after clock.Millis)
}

// Values yields the published values with their age.
type Values interface {
	View() *directory.View
	Age() clock.Millis
	Fresh() bool
}

// LatencyObserver measures how long requests took.
type LatencyObserver interface {
	Observe(class route.Class, outcome metric.Outcome, took clock.Millis)
}

// InnerCalls knows what the local target runs, and is told of its calls that found no room.
type InnerCalls interface {
	NoteInnerRefusal()
	// RepeatedPart returns the part of the requests that run which are repeats or calls of them.
	RepeatedPart() float64
}

// Splitter chooses among the services of a route.
type Splitter interface {
	Choose(r route.Route) string
}

// Config are the dependencies of a Handler.
type Config struct {
	// Service is the service of the target beside the node, where the requests begin.
	Service string
	// StaleAfterMs is the age of the confirmation above which an unknown route or key may be a new one.
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

// CloseConnections makes the handler close each connection after its answer.
func (h *Handler) CloseConnections() {
	h.closeConnections.Store(true)
}

// RefuseCallers makes the handler refuse new requests of callers. Calls of the local target still go through, for the
// requests that it runs.
func (h *Handler) RefuseCallers() {
	h.refuseCallers.Store(true)
}

// inboundRequest is a request with what was found out about it.
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
	body       *body.Body
	inner      bool
}

// outcome is the end of a request at its origin.
type outcome struct {
	Result
	// retryAfter is the advice with a refusal; 0 means none.
	retryAfter clock.Millis
}

func refusal(reason call.Reason, retryAfter clock.Millis) outcome {
	return outcome{Result: Result{Reply: dispatch.Reply{Reason: reason, Run: call.NotRun}}, retryAfter: retryAfter}
}

// ServeHTTP handles one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, request *http.Request) {
	a := &inboundRequest{
		request: request, writer: w, receivedAt: h.Clock.Now(), caller: h.Dialect.ReadCaller(request.Header),
	}
	if h.closeConnections.Load() || h.Admission.Sockets.NearlyExhausted() {
		w.Header().Set("Connection", "close")
	}
	defer func() { a.body.Release() }()
	o := h.handle(a)
	h.record(a, o)
	if o.Response != nil {
		message.WriteResponse(w, o.Response)
		return
	}
	h.writeRefusal(w, a, o)
}

func (h *Handler) writeRefusal(w http.ResponseWriter, a *inboundRequest, o outcome) {
	status := o.Reply.Reason.HTTPStatus()
	if o.Reply.Run != call.NotRun && statusPromisesNotRun(status) {
		status = http.StatusBadGateway
	}
	if o.Reply.Run == call.NotRun && o.Reply.Reason != call.ReasonInternalError &&
		(status >= http.StatusInternalServerError || o.Reply.Reason == call.ReasonPoisonRequest) {
		status = http.StatusServiceUnavailable
	}
	header := w.Header()
	if a.caller.RequestID != "" {
		header.Set(h.Dialect.EchoHeader(), a.caller.RequestID)
	}
	if statusPromisesNotRun(status) && o.retryAfter > 0 {
		h.Dialect.WriteRetryAfter(header, o.retryAfter)
	}
	header.Set("Coltsfoot-Reason", string(o.Reply.Reason))
	header["Date"] = nil
	header["Content-Type"] = nil
	w.WriteHeader(status)
}

// statusPromisesNotRun reports whether callers may take the status as a promise that the request was not run.
func statusPromisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}

// handle decides about a request and, if it is admitted, sends it to a target.
func (h *Handler) handle(a *inboundRequest) outcome {
	if a.view = h.Values.View(); a.view == nil {
		return refusal(call.ReasonNotReady, notReadyRetryAfterMs)
	}
	if reason := h.resolve(a); reason != "" {
		if (reason == call.ReasonRouteUnknown || reason == call.ReasonKeyUnknown) && h.Values.Age() > h.StaleAfterMs {
			reason = call.ReasonConfirmTimeout
		}
		return refusal(reason, notReadyRetryAfterMs)
	}
	if h.refuseCallers.Load() && !a.inner {
		return refusal(call.ReasonLeaving, leavingRetryAfterMs)
	}
	if a.account.ID != "" && !h.Values.Fresh() {
		return refusal(call.ReasonConfirmTimeout, notReadyRetryAfterMs)
	}
	if reason := h.readBody(a); reason != "" {
		return refusal(reason, h.Sender.RetryAfter(overloadRetryAfterMs))
	}
	if drain.CallerGone(a.request) {
		return refusal(call.ReasonCallerGone, 0)
	}
	ctx, cancel := context.WithTimeout(a.request.Context(), a.timeout.Duration())
	o := h.admitAndSend(ctx, a)
	if o.Response == nil {
		cancel()
		return o
	}
	o.Response.OnClose(cancel)
	return o
}

// resolve finds the route, the client account, the rank and the time of the request.
func (h *Handler) resolve(a *inboundRequest) call.Reason {
	path, _, _ := strings.Cut(a.request.RequestURI, "?")
	host, _, _ := strings.Cut(a.request.Host, ":")
	found, ok := a.view.RouteForHost(host, path)
	if !ok {
		return call.ReasonRouteUnknown
	}
	if found.Blocked {
		return call.ReasonRouteClosed
	}
	a.route, a.priority = found, found.Priority
	if reason := h.authenticate(a); reason != "" {
		return reason
	}
	if a.account.Priority != nil {
		a.priority = *a.account.Priority
	}
	a.inner = found.Open && !a.caller.HasKey
	a.timeout = found.TimeoutMs
	if a.timeout <= 0 {
		a.timeout = defaultTimeoutMs
	}
	if a.caller.TimeoutMs > 0 {
		a.timeout = min(a.timeout, a.caller.TimeoutMs)
	}
	return ""
}

func (h *Handler) authenticate(a *inboundRequest) call.Reason {
	if !a.view.KeysRequired {
		return ""
	}
	known, ok := a.view.AccountByKey(a.caller.Key)
	switch {
	case a.caller.Key != "" && ok:
		a.account = known
		return ""
	case a.route.Open:
		return ""
	case !a.caller.HasKey:
		return call.ReasonKeyMissing
	case a.view.AccountsIncomplete:
		// The key may belong to the account that can't be read; "unknown" would be final for its caller.
		return call.ReasonNotReady
	default:
		return call.ReasonKeyUnknown
	}
}

// readBody reads the whole body, because a request that did not run may have to be sent elsewhere.
func (h *Handler) readBody(a *inboundRequest) call.Reason {
	limit := a.view.Bounds.MaxBodyBytes
	if limit <= 0 {
		limit = defaultMaxBodyBytes
	}
	control := http.NewResponseController(a.writer)
	var err error
	if a.request.ContentLength != 0 {
		// Nobody waits for the answer to a body that is not there by then.
		late := time.Now().Add((a.receivedAt + a.timeout - h.Clock.Now()).Duration())
		if err = control.SetReadDeadline(late); err != nil {
			return call.ReasonInternalError
		}
	}
	if a.body, err = h.Bodies.Read(a.request.Body, a.request.ContentLength, limit); err != nil {
		return body.Reason(a.request.Context(), err)
	}
	if a.request.ContentLength != 0 {
		if err = control.SetReadDeadline(time.Time{}); err != nil {
			return call.ReasonInternalError
		}
	}
	return ""
}

// admitAndSend sends the request if it may enter.
func (h *Handler) admitAndSend(ctx context.Context, a *inboundRequest) outcome {
	entrant := AdmissionRequest{
		Account: a.account, Limited: a.account.ID != "" && !a.route.Open, Urgent: a.route.Class == route.NonIdempotent,
		Throttled: a.route.Class == route.Lookup && !a.inner,
		Lookup:    intake.Call{Route: a.route.Host + a.route.Prefix, TimeoutMs: a.caller.TimeoutMs},
	}
	if reason, retryAfter := h.Admission.Admit(ctx, entrant); reason != "" {
		return refusal(reason, h.Sender.RetryAfter(retryAfter))
	}
	result := h.Sender.Send(ctx, h.newJob(a))
	h.Admission.Done(entrant, result)
	if a.inner && failedForOverload(result) {
		h.InnerCalls.NoteInnerRefusal()
	}
	o := outcome{Result: result}
	if result.Reply.Run == call.NotRun {
		o.retryAfter = h.Sender.RetryAfter(result.Reply.RetryAfterMs)
	}
	return o
}

func (h *Handler) newJob(a *inboundRequest) Job {
	header := a.request.Header
	repeated := 0.0
	if a.inner {
		repeated = h.InnerCalls.RepeatedPart()
	}
	message.RemoveHopByHopHeaders(header)
	h.Dialect.DropCaller(header)
	header.Del("Expect")
	return Job{
		Context: dispatch.Context{
			RequestID: a.caller.RequestID, Service: h.Splitter.Choose(a.route), Route: a.route.Host + a.route.Prefix,
			Class: a.route.Class, Account: a.account.ID, Caller: h.Service, Priority: a.priority, Inner: a.inner, Repeated: repeated,
		},
		Method: a.request.Method, URI: a.request.RequestURI, Host: a.request.Host, Header: header, Body: a.body.Bytes,
		Deadline: a.receivedAt + a.timeout, MaxTargets: max(1, a.route.MaxTargets), ObjectiveMs: a.route.ObjectiveMs,
	}
}

func (h *Handler) record(a *inboundRequest, o outcome) {
	now := h.Clock.Now()
	h.Latency.Observe(a.route.Class, metricOutcome(o), now-a.receivedAt)
	action := "request answered"
	if o.Response == nil {
		action = "request refused or failed"
	}
	h.Recorder.Record(decision.Decision{
		AtMs: now, Part: decision.Entry, RequestID: a.caller.RequestID, Account: a.account.ID,
		Route: a.route.Host + a.route.Prefix, Action: action, Node: o.Target, Reason: o.Reply.Reason, Attempt: o.Attempts,
		FactAgeMs: ageOrUnknown(h.Values.Age()), ElapsedMs: now - a.receivedAt, WaitMs: o.retryAfter,
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
