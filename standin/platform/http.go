package platform

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"coltsfootusher.example/standin/server"
)

// ReaderHeader names the reader, for behaviours of single readers and for counters.
const ReaderHeader = "Coltsfoot-Node"

const (
	recheckInterval = 5 * time.Millisecond
	maxWait         = 60 * time.Second
	// statusReaderGone is counted for calls whose reader disconnected.
	statusReaderGone = 499
)

// Handler serves readers below /v1/ and tests below /admin/.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/values/{name}", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, false) })
	mux.HandleFunc("GET /v1/watch/{name}", func(w http.ResponseWriter, r *http.Request) { p.serve(w, r, true) })
	mux.HandleFunc("GET /admin/values/{name}", p.adminCurrent)
	mux.HandleFunc("POST /admin/values/{name}", p.adminPublish)
	mux.HandleFunc("POST /admin/mode", p.adminSetMode)
	mux.HandleFunc("DELETE /admin/mode", p.adminClearMode)
	mux.HandleFunc("POST /admin/vmListLag", p.adminVMListLag)
	mux.HandleFunc("GET /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		server.WriteJSON(w, http.StatusOK, p.Stats())
	})
	mux.HandleFunc("DELETE /admin/stats", func(w http.ResponseWriter, _ *http.Request) {
		p.ResetStats()
		w.WriteHeader(http.StatusNoContent)
	})
	return mux
}

// Start serves the platform on address.
func (p *Platform) Start(ctx context.Context, address string) (*server.Server, error) {
	listener, err := server.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	return server.Start(listener, p.Handler()), nil
}

func (p *Platform) serve(w http.ResponseWriter, r *http.Request, watch bool) {
	reader := r.Header.Get(ReaderHeader)
	if reader == "" {
		reader = r.URL.Query().Get("node")
	}
	after, wait, err := watchArguments(r, watch)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.countCall(reader, watch)
	status, value := p.await(r, reader, after, wait)
	p.countStatus(status)
	switch status {
	case http.StatusOK:
		server.WriteJSON(w, status, value)
	case statusReaderGone:
	case http.StatusNotModified:
		w.WriteHeader(status)
	default:
		http.Error(w, http.StatusText(status), status)
	}
}

func watchArguments(r *http.Request, watch bool) (after int64, wait time.Duration, err error) {
	if !watch {
		return 0, 0, nil
	}
	if after, err = queryInt(r, "after"); err != nil {
		return 0, 0, err
	}
	waitMs, err := queryInt(r, "waitMs")
	if err != nil {
		return 0, 0, err
	}
	return after, min(time.Duration(waitMs)*time.Millisecond, maxWait), nil
}

func queryInt(r *http.Request, name string) (int64, error) {
	text := r.URL.Query().Get(name)
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return 0, Error.New("query parameter %s must be a number of at least 0, got %q", name, text)
	}
	return number, nil
}

// await blocks as the reader's mode demands and until a value newer than after is visible or wait has passed.
func (p *Platform) await(r *http.Request, reader string, after int64, wait time.Duration) (int, Value) {
	name := r.PathValue("name")
	deadline := time.Now().Add(wait)
	delayed := false
	for {
		v := p.look(reader, name)
		remaining := time.Until(deadline)
		switch {
		case v.down:
			return http.StatusServiceUnavailable, Value{}
		case v.behaviour.Mode == Hang:
			if !pause(r, v.changed, maxWait) {
				return statusReaderGone, Value{}
			}
			continue
		case v.behaviour.Mode == Slow && !delayed:
			delayed = true
			if !pause(r, nil, time.Duration(v.behaviour.DelayMs)*time.Millisecond) {
				return statusReaderGone, Value{}
			}
			continue
		case !v.found && wait == 0:
			return http.StatusNotFound, Value{}
		case v.found && v.value.Version > after:
			return http.StatusOK, v.value
		case remaining <= 0:
			return http.StatusNotModified, Value{}
		}
		if v.recheck {
			remaining = min(remaining, recheckInterval)
		}
		if !pause(r, v.changed, remaining) {
			return statusReaderGone, Value{}
		}
	}
}

// pause waits for the change or the duration; it returns false if the reader disconnected.
func pause(r *http.Request, changed <-chan struct{}, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

func (p *Platform) adminCurrent(w http.ResponseWriter, r *http.Request) {
	value, ok := p.Current(r.PathValue("name"))
	if !ok {
		http.Error(w, "section was never published", http.StatusNotFound)
		return
	}
	server.WriteJSON(w, http.StatusOK, value)
}

func (p *Platform) adminPublish(w http.ResponseWriter, r *http.Request) {
	expected := AnyVersion
	if r.URL.Query().Has("expected") {
		var err error
		if expected, err = queryInt(r, "expected"); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, MaxValueBytes+1))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	version, err := p.Publish(r.PathValue("name"), body, expected)
	switch {
	case ErrConflict.Has(err):
		http.Error(w, err.Error(), http.StatusConflict)
	case err != nil:
		http.Error(w, err.Error(), http.StatusBadRequest)
	default:
		server.WriteJSON(w, http.StatusOK, map[string]int64{"version": version})
	}
}

func (p *Platform) adminSetMode(w http.ResponseWriter, r *http.Request) {
	var b Behaviour
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if err := p.SetBehaviour(r.URL.Query().Get("reader"), b); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) adminClearMode(w http.ResponseWriter, r *http.Request) {
	p.ClearBehaviour(r.URL.Query().Get("reader"))
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platform) adminVMListLag(w http.ResponseWriter, r *http.Request) {
	ms, err := queryInt(r, "ms")
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.SetVMListLag(time.Duration(ms) * time.Millisecond)
	w.WriteHeader(http.StatusNoContent)
}
