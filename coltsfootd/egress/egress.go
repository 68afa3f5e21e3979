package egress

import (
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"coltsfootusher.example/coltsfootd/answer"
	"coltsfootusher.example/coltsfootd/decision"
	"coltsfootusher.example/coltsfootd/gateway"
	"coltsfootusher.example/coltsfootd/inflight"
	"coltsfootusher.example/coltsfootd/passage"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/route"
)

// OperationKeyHeader lets a target identify a non-idempotent inner call within its operation, so that a retry of the
// inner call is recognised.
const OperationKeyHeader = "Operation-Key"

// Snapshots provides the snapshot of published values that is in force.
type Snapshots interface {
	Current() *fleet.Snapshot
}

// Operations derives the operation IDs of non-idempotent inner calls.
type Operations interface {
	ChildID(parent *inflight.Parent, c call.Call, key string) (string, call.Reason)
}

// Sender sends calls to targets.
type Sender interface {
	Send(ctx context.Context, r passage.Request) answer.Answer
}

// Config are the dependencies of a Handler.
type Config struct {
	Node         string
	Clock        clock.Clock
	Snapshots    Snapshots
	Operations   Operations
	Sender       Sender
	InFlight     *inflight.Table
	Recorder     *decision.Recorder
	MaxBodyBytes int64
}

// Handler serves the egress address of a node.
type Handler struct {
	Config
}

// New returns a handler with these dependencies.
func New(config Config) *Handler {
	return &Handler{Config: config}
}

// ServeHTTP handles one inner call of the local target.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parent, ok := h.InFlight.Get(r.Header.Get(gateway.ContextHeader))
	if !ok {
		h.refuse(w, call.Call{Path: r.URL.Path}, call.ReasonContextUnknown)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, h.MaxBodyBytes))
	if err != nil {
		h.refuse(w, parent.Call, call.ReasonBodyTooLarge)
		return
	}
	c, reason := h.newInnerCall(parent, r, body)
	if reason != "" {
		h.refuse(w, c, reason)
		return
	}
	deadline := h.innerDeadline(parent, r)
	ctx, cancel := h.innerContext(r.Context(), parent, deadline)
	defer cancel()
	header := make(http.Header, len(r.Header))
	answer.CopyHeader(header, r.Header)
	header.Del("Authorization")
	a := h.Sender.Send(ctx, passage.Request{
		Call: c, Header: header, Body: body, Deadline: deadline, Allowance: parent.Allowance,
	})
	parent.RecordRefusal(a.Refusal())
	a.Write(w)
}

func (h *Handler) newInnerCall(parent *inflight.Parent, r *http.Request, body []byte) (call.Call, call.Reason) {
	c := call.Call{
		RequestID: parent.Call.RequestID, Account: parent.Call.Account, Depth: parent.Call.Depth + 1,
		Method: r.Method, Path: r.URL.RequestURI(),
	}
	matched, ok := h.Snapshots.Current().Route(r.URL.Path)
	if !ok {
		return c, call.ReasonRouteUnknown
	}
	c.Route, c.Service, c.Class = matched.Prefix, matched.Service, matched.Class
	c.InNonIdempotentOperation = parent.Call.Class == route.NonIdempotent || parent.Call.InNonIdempotentOperation
	c.Fingerprint = xxhash.Sum64String(strconv.FormatUint(parent.Call.Fingerprint, 10)+c.Method+c.Path) ^ xxhash.Sum64(body)
	if c.Class != route.NonIdempotent {
		return c, ""
	}
	if parent.Call.Class != route.NonIdempotent {
		return c, call.ReasonNonIdempotentInLookup
	}
	id, reason := h.Operations.ChildID(parent, c, r.Header.Get(OperationKeyHeader))
	c.OperationID = id
	return c, reason
}

// innerDeadline returns the parent's deadline, or an earlier one set by the route, the preset or the target. With the
// parent's deadline alone, a non-idempotent operation, which outlives its caller's deadline, would wait for a target
// that hangs.
func (h *Handler) innerDeadline(parent *inflight.Parent, r *http.Request) clock.Millis {
	now, snapshot := h.Clock.Now(), h.Snapshots.Current()
	timeout := snapshot.Presets.ActivePreset().DefaultDeadlineMs
	if matched, ok := snapshot.Route(r.URL.Path); ok && matched.TimeoutMs > 0 {
		timeout = matched.TimeoutMs
	}
	ms, err := strconv.ParseInt(r.Header.Get(gateway.TimeoutHeader), 10, 64)
	if err == nil && ms > 0 {
		timeout = min(timeout, clock.Millis(ms))
	}
	return min(parent.Deadline, now+timeout)
}

// innerContext returns a context that is cancelled when the target's request or the parent's request ends, or at the
// deadline.
func (h *Handler) innerContext(ctx context.Context, parent *inflight.Parent, deadline clock.Millis) (context.Context, func()) {
	ctx, cancel := context.WithTimeout(ctx, max(0, deadline-h.Clock.Now()).Duration())
	stop := make(chan struct{})
	go func() {
		select {
		case <-parent.Done:
			cancel()
		case <-stop:
		}
	}()
	return ctx, func() {
		close(stop)
		cancel()
	}
}

func (h *Handler) refuse(w http.ResponseWriter, c call.Call, reason call.Reason) {
	h.Recorder.Record(decision.Decision{
		AtMs: h.Clock.Now(), Part: decision.PartEgress, RequestID: c.RequestID, Account: c.Account, Route: c.Route,
		Action: "inner call refused", Node: h.Node, Reason: reason, Depth: c.Depth, FactAgeMs: -1,
	})
	a := answer.Refuse(reason)
	if c.Class == route.NonIdempotent {
		// A refused call has not been sent, and without an operation ID it never will be.
		a.Result.Outcome = call.OutcomeNotRun
	}
	a.Write(w)
}
