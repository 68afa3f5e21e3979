package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"strconv"
	"sync/atomic"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/body"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/coltsfootd/passage"
	"coltsfootusher.example/core/account"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/preset"
	"coltsfootusher.example/core/retry"
	"coltsfootusher.example/core/route"
)

// Snapshots provides the snapshot of published values that is in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Confirmation blocks requests until the node is ready and, after a pause, has confirmed its published values.
type Confirmation interface {
	Wait(ctx context.Context) error
}

// Limiter enforces the fleet-wide rate limits of client accounts.
type Limiter interface {
	// Admit takes one token of the account's limit and reports whether one was available. If none was, retryAfter is the
	// time until one is expected.
	Admit(ctx context.Context, a account.Account) (ok bool, retryAfter clock.Millis)
}

// Operations identifies and seals non-idempotent operations and serves queries about them.
type Operations interface {
	// Identify returns the operation ID of a request, or the reason why the request has no valid one. If it returns
	// both, the ID is authentic and its operation may have run.
	Identify(header http.Header, c call.Call) (id string, reason call.Reason)
	// Seal prevents an operation that has not started from ever starting, and returns its outcome.
	Seal(ctx context.Context, c call.Call) call.Outcome
	// Serve handles requests at and below OperationsPath for an authenticated account.
	Serve(w http.ResponseWriter, r *http.Request, accountID string)
}

// Sender sends calls to targets.
type Sender interface {
	Send(ctx context.Context, r passage.Request) answer.Answer
}

// OperationsPath is the prefix of the paths at which callers obtain and query operation IDs.
const OperationsPath = "/.coltsfoot/operations"

const requestIDBytes = 12

// Throttle refuses root calls early while calls with the same key fail because of overload.
type Throttle interface {
	Admit(key retry.ThrottleKey, now clock.Millis) bool
	Done(key retry.ThrottleKey, accepted bool, now clock.Millis)
}

// Config are the dependencies of a Handler.
type Config struct {
	Node         string
	Clock        clock.Clock
	Snapshots    Snapshots
	Confirmation Confirmation
	Limiter      Limiter
	Operations   Operations
	Throttle     Throttle
	Sender       Sender
	Recorder     *decision.Recorder
	CallCounter  *metric.CallCounter
	// MaxBodyBytes is the maximum size of one request body; BodyBudget limits the bodies in memory together.
	MaxBodyBytes int64
	BodyBudget   *body.Budget
}

// Handler serves the entry address of a node.
type Handler struct {
	Config
	leaving atomic.Bool
}

// New returns a handler with these dependencies.
func New(config Config) *Handler {
	return &Handler{Config: config}
}

// SetLeaving makes the handler refuse new calls and close callers' connections.
func (h *Handler) SetLeaving() {
	h.leaving.Store(true)
}

// ServeHTTP handles one call of a caller.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	received := h.Clock.Now()
	requestID, err := newRequestID()
	if err != nil {
		http.Error(w, "internal error", http.StatusInternalServerError)
		return
	}
	w.Header().Set(answer.RequestIDHeader, requestID)
	if h.leaving.Load() {
		w.Header().Set("Connection", "close")
	}
	a := h.serve(w, r, requestID, received)
	if a == nil {
		return
	}
	a.Write(w)
}

// serve returns nil if the response has already been written.
func (h *Handler) serve(w http.ResponseWriter, r *http.Request, requestID string, received clock.Millis) *answer.Answer {
	c := call.Call{RequestID: requestID, Method: r.Method, Path: r.URL.RequestURI()}
	if err := h.Confirmation.Wait(r.Context()); err != nil {
		return h.refuse(c, call.ReasonNotReady, received)
	}
	snapshot := h.Snapshots.Current()
	if isOperationsPath(r.URL.Path) {
		if h.leaving.Load() {
			return h.refuse(c, call.ReasonLeaving, received)
		}
		a, reason := authenticate(snapshot, r, route.Route{})
		if reason != "" {
			return h.refuse(c, reason, received)
		}
		h.Operations.Serve(w, r, a.ID)
		return nil
	}
	return h.authorizeAndSend(snapshot, r, c, received)
}

func (h *Handler) authorizeAndSend(snapshot *fleet.Snapshot, r *http.Request, c call.Call, received clock.Millis) *answer.Answer {
	matched, ok := snapshot.Route(r.URL.Path)
	if !ok {
		return h.refuse(c, call.ReasonRouteUnknown, received)
	}
	c.Route, c.Service, c.Class = matched.Prefix, matched.Service, matched.Class
	acct, reason := authenticate(snapshot, r, matched)
	if reason != "" {
		return h.refuse(c, reason, received)
	}
	c.Account = acct.ID
	// Identify the operation first, so that every later refusal can seal it.
	if c.Class == route.NonIdempotent {
		if c.OperationID, reason = h.Operations.Identify(r.Header, c); reason != "" {
			return h.refuse(c, reason, received)
		}
	}
	if h.leaving.Load() {
		return h.refuse(c, call.ReasonLeaving, received)
	}
	requestBody, err := h.BodyBudget.Read(r.Body, r.ContentLength, h.MaxBodyBytes)
	if err != nil {
		return h.refuse(c, body.Reason(r.Context(), err), received)
	}
	defer requestBody.Release()
	if exposesKey(snapshot, r, requestBody.Bytes) {
		return h.refuse(c, call.ReasonKeyExposed, received)
	}
	c.Fingerprint = fingerprint(c, requestBody.Bytes)
	return h.sendWithTimeout(r, c, acct, snapshot.Presets.ActivePreset(), matched, requestBody.Bytes, received)
}

func (h *Handler) sendWithTimeout(
	r *http.Request, c call.Call, acct account.Account, p preset.Preset, matched route.Route, body []byte, received clock.Millis,
) *answer.Answer {
	timeout, reason := requestTimeout(r, matched, p)
	if reason != "" {
		return h.refuse(c, reason, received)
	}
	if reason := closedReason(p, matched); reason != "" {
		return h.refuse(c, reason, received)
	}
	c.TimeoutMs = timeout
	ctx, cancel := context.WithTimeout(r.Context(), timeout.Duration())
	a := h.admitAndSend(ctx, r, c, acct, p, body, received)
	if a.Rest == nil {
		cancel()
		return a
	}
	// The rest of a large body has not been copied yet, so the context stays valid until the body is closed.
	a.Rest = withCloseCallback(a.Rest, cancel)
	return a
}

func (h *Handler) admitAndSend(
	ctx context.Context, r *http.Request, c call.Call, acct account.Account, p preset.Preset, body []byte, received clock.Millis,
) *answer.Answer {
	throttled := c.Class == route.Lookup && p.Policy == preset.On
	key := retry.ThrottleKey{Account: c.Account, Route: c.Route}
	// Check the throttle before the limiter, so that a throttled call takes no token of the account.
	if throttled && !h.Throttle.Admit(key, h.Clock.Now()) {
		return h.refuse(c, call.ReasonOverloaded, received)
	}
	if acct.ID != "" && p.Policy == preset.On {
		if ok, retryAfter := h.Limiter.Admit(ctx, acct); !ok {
			a := h.refuse(c, call.ReasonOverRate, received)
			a.Result.RetryAfterMs = retryAfter
			return a
		}
	}
	a := h.Sender.Send(ctx, passage.Request{
		Call: c, Header: filterHeaders(r.Header), Body: body,
		Deadline: received + c.TimeoutMs, Allowance: retry.NewAllowance(p.RetryAllowance),
	})
	if throttled {
		h.Throttle.Done(key, !a.Refusal().IsOverload(), h.Clock.Now())
	}
	a.Result.Node = h.Node
	if c.Class == route.NonIdempotent && a.Result.Outcome == "" {
		a.Result.Outcome = call.OutcomeUnknown
	}
	h.record(c, "call finished", a.Result, received)
	return &a
}

// refuse records and returns a refusal. It first seals a non-idempotent call that has an operation ID, so that the
// outcome "notRun" stays true.
func (h *Handler) refuse(c call.Call, reason call.Reason, received clock.Millis) *answer.Answer {
	a := answer.Refuse(reason)
	if c.Class == route.NonIdempotent {
		a.Result.Outcome = h.refusalOutcome(c, reason)
		if a.Result.Outcome != call.OutcomeNotRun {
			a.Result.RunStatus = call.MaybeRun
		}
	}
	h.record(c, "call refused by entry", a.Result, received)
	return &a
}

func (h *Handler) refusalOutcome(c call.Call, reason call.Reason) call.Outcome {
	switch {
	case c.OperationID != "":
		// Not the request's context: the operation must be sealed even if the caller has disconnected.
		return h.Operations.Seal(context.Background(), c)
	case reason == call.ReasonOperationIDRequired || reason == call.ReasonOperationIDInvalid:
		return call.OutcomeNotRun
	default:
		return call.OutcomeUnknown
	}
}

func (h *Handler) record(c call.Call, action string, result call.Result, received clock.Millis) {
	now := h.Clock.Now()
	h.CallCounter.Count(c.Class, result)
	h.Recorder.Record(decision.Decision{
		AtMs: now, Part: decision.PartEntry, RequestID: c.RequestID, Account: c.Account, Route: c.Route, Action: action,
		Node: h.Node, Reason: result.Reason, FactAgeMs: -1, ElapsedMs: now - received,
	})
}

func closedReason(p preset.Preset, r route.Route) call.Reason {
	if p.ClosesRoute(r.Prefix) {
		return call.ReasonRouteClosed
	}
	if r.Class == route.Lookup && !p.LookupsAdmitted {
		return call.ReasonLookupsClosed
	}
	return ""
}

// requestTimeout returns the timeout of the route, or the preset's default if the route has none. The caller can
// shorten it but not extend it.
func requestTimeout(r *http.Request, matched route.Route, p preset.Preset) (clock.Millis, call.Reason) {
	timeout := p.DefaultDeadlineMs
	if matched.TimeoutMs > 0 {
		timeout = matched.TimeoutMs
	}
	headerValue := r.Header.Get(gateway.TimeoutHeader)
	if headerValue == "" {
		return timeout, ""
	}
	ms, err := strconv.ParseInt(headerValue, 10, 64)
	if err != nil {
		return 0, call.ReasonMalformedRequest
	}
	if ms <= 0 {
		return 0, call.ReasonDeadlineExceeded
	}
	return min(timeout, clock.Millis(ms)), ""
}

func fingerprint(c call.Call, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{c.Account, c.Method, c.Path} {
		_, _ = digest.WriteString(strconv.Itoa(len(part)) + ":" + part)
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

func newRequestID() (string, error) {
	var raw [requestIDBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", err
	}
	return hex.EncodeToString(raw[:]), nil
}
