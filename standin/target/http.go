package target

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootusher.example/standin/journal"
	"coltsfootusher.example/standin/server"
)

// The headers that the target reads or sends.
const (
	RequestIDHeader   = "Coltsfoot-Request-Id"
	ContextHeader     = "Coltsfoot-Context"
	ReasonHeader      = "Coltsfoot-Reason"
	TimeoutHeader     = "Request-Timeout-Ms"
	OperationIDHeader = "Operation-Id"
	// RefusedHeader with the value RefusedNotRun is sent with requests that were shed before they ran.
	RefusedHeader = "Target-Refused"
	RefusedNotRun = "not-run"
	// InnerReasonHeader carries the reason with which an inner call was refused.
	InnerReasonHeader = "Target-Inner-Reason"
)

const (
	maxBodyBytes = 4 << 20
	// statusCallerGone is never received: the caller has disconnected.
	statusCallerGone = 499
)

// rendered is an answer in the form in which it is sent.
type rendered struct {
	requestID string
	body      []byte
}

// Handler serves requests of the service, /health, /load and the calls below /admin/.
func (t *Target) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", t.serve)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, _ *http.Request) {
		report := t.reported()
		status := http.StatusOK
		if report.Status == StatusDraining {
			status = http.StatusServiceUnavailable
		}
		server.WriteJSON(w, status, map[string]string{"status": report.Status})
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, t.reported())
	})
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, t.Stats())
	})
	mux.HandleFunc("GET /admin/journal", func(w http.ResponseWriter, _ *http.Request) {
		entries, _ := t.journal.Entries()
		server.WriteJSON(w, http.StatusOK, entries)
	})
	mux.HandleFunc("GET /admin/controls", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, t.Controls())
	})
	mux.HandleFunc("POST /admin/controls", t.adminControls)
	return mux
}

// adminControls changes the properties that the body names and keeps the others.
func (t *Target) adminControls(w http.ResponseWriter, r *http.Request) {
	c := t.Controls()
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := t.SetControls(c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	server.WriteJSON(w, http.StatusOK, c)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	if t.Controls().Draining {
		t.whileDraining.Add(1)
	}
	// The body is read to its end first, because net/http reports a disconnected client only after that.
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fault, passOn := faultAt(r.URL.RawQuery+"\n"+string(body), t.settings.Service)
	ctx, cancel, err := requestContext(r.Context(), r.Header.Get(TimeoutHeader), fault)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	defer cancel()
	release, status := t.acquireSlot(ctx)
	if status != http.StatusOK {
		t.refuse(w, r, status)
		return
	}
	defer release()
	x := execution{target: t, ctx: ctx, request: r, body: body, fault: fault, passOn: passOn}
	answer, status := x.run()
	if status != http.StatusOK {
		w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
		w.Header().Set(InnerReasonHeader, x.innerReason)
		http.Error(w, fmt.Sprintf("%s: %s", t.settings.Service, http.StatusText(status)), status)
		return
	}
	t.send(w, r, answer, fault)
}

// requestContext honours the caller's deadline and disconnection, except for requests marked "late".
func requestContext(
	parent context.Context, timeoutMs string, fault Fault,
) (context.Context, context.CancelFunc, error) {
	if fault == Late {
		return context.WithoutCancel(parent), func() {}, nil
	}
	if timeoutMs == "" {
		ctx, cancel := context.WithCancel(parent)
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(timeoutMs, 10, 64)
	if err != nil || ms < 0 {
		return nil, nil, Error.New("%s must be a number of milliseconds, got %q", TimeoutHeader, timeoutMs)
	}
	ctx, cancel := context.WithTimeout(parent, time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

// acquireSlot waits for a free slot, or returns the status of the refusal.
func (t *Target) acquireSlot(ctx context.Context) (release func(), status int) {
	release = func() {
		t.running.Add(-1)
		<-t.slots
	}
	if ctx.Err() != nil {
		return nil, failureStatus(ctx)
	}
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		return release, http.StatusOK
	default:
	}
	waiting := t.waiting.Add(1)
	defer t.waiting.Add(-1)
	if t.Controls().Shed || (t.settings.QueueLimit > 0 && waiting > int64(t.settings.QueueLimit)) {
		t.shed.Add(1)
		return nil, http.StatusServiceUnavailable
	}
	select {
	case t.slots <- struct{}{}:
		t.running.Add(1)
		return release, http.StatusOK
	case <-ctx.Done():
		return nil, failureStatus(ctx)
	}
}

// refuse answers a request that did not run.
func (t *Target) refuse(w http.ResponseWriter, r *http.Request, status int) {
	w.Header().Set(RequestIDHeader, r.Header.Get(RequestIDHeader))
	w.Header().Set(RefusedHeader, RefusedNotRun)
	http.Error(w, t.settings.Service+": refused before it ran", status)
}

func failureStatus(ctx context.Context) int {
	if ctx.Err() == context.DeadlineExceeded {
		return http.StatusGatewayTimeout
	}
	return statusCallerGone
}

func (t *Target) send(w http.ResponseWriter, r *http.Request, answer Answer, fault Fault) {
	body, err := json.Marshal(answer)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	own := rendered{requestID: r.Header.Get(RequestIDHeader), body: body}
	t.mu.Lock()
	earlier := t.earlier
	if fault != Crossed {
		t.earlier = &own
	}
	t.mu.Unlock()
	if fault == Crossed && earlier != nil {
		own = *earlier
	}
	sendRendered(w, own, fault)
}

func sendRendered(w http.ResponseWriter, own rendered, fault Fault) {
	w.Header().Set(RequestIDHeader, own.requestID)
	w.Header().Set("Content-Type", "application/json")
	switch fault {
	case Truncated:
		w.Header().Set("Content-Length", strconv.Itoa(len(own.body)))
		_, _ = w.Write(own.body[:len(own.body)/2])
	case TruncatedChunked:
		_, _ = w.Write(own.body[:len(own.body)/2])
		_ = http.NewResponseController(w).Flush()
		// net/http closes the connection without the last chunk.
		panic(http.ErrAbortHandler)
	case Duplicated:
		sendTwice(w, own)
	default:
		w.Header().Set("Content-Length", strconv.Itoa(len(own.body)))
		_, _ = w.Write(own.body)
	}
}

func sendTwice(w http.ResponseWriter, own rendered) {
	conn, buffered, err := http.NewResponseController(w).Hijack()
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	defer conn.Close()
	for range 2 {
		_, _ = fmt.Fprintf(buffered, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			RequestIDHeader, own.requestID, len(own.body), own.body)
	}
	_ = buffered.Flush()
	// The connection stays open for a while, so that the receiver can make the mistake of using it again.
	time.Sleep(duplicateLinger)
}

const duplicateLinger = 200 * time.Millisecond

func (t *Target) record(e journal.Entry) error {
	e.Service, e.Target = t.settings.Service, t.settings.Name
	return t.journal.Append(e)
}
