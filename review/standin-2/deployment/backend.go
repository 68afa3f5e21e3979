package deployment

import (
	"crypto/sha256"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Backend stands in for an application backend. It runs Slots requests at a time, queues Queue more, and says with X-Not-Executed
// that it did not run any beyond these.
type Backend struct {
	ID, Service, Zone, Address string
	Slots, Queue               int
	// Work is how long a request runs.
	Work time.Duration
	// Runs is called when a request begins to run. A request for which it returns false gets no answer.
	Runs func(b *Backend, r *http.Request) bool
	// Raw takes over the connections of the requests for which Wants returns true.
	Raw   func(c net.Conn, r *http.Request) bool
	Wants func(r *http.Request) bool

	slots   chan struct{}
	mu      sync.Mutex
	running int
	waiting int
	server  *http.Server
	// lifetimes counts the starts.
	lifetimes int
	down      bool
	sequence  int64
	born      int64
}

// Start listens at the address. Each start is a new lifetime with an id of its own.
func (b *Backend) Start() error {
	l, err := net.Listen("tcp", b.Address)
	if err != nil {
		return err
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slots = make(chan struct{}, b.Slots)
	b.running, b.waiting, b.sequence = 0, 0, 0
	b.born = time.Now().UnixMilli()
	b.lifetimes++
	b.ID = fmt.Sprintf("i-%08x", rand.Uint32())
	b.down = false
	b.server = &http.Server{Handler: lifetime{b, b.lifetimes}, MaxHeaderBytes: 1 << 20, IdleTimeout: 10 * time.Second}
	server := b.server
	go func() { _ = server.Serve(l) }()
	return nil
}

// lifetime serves the requests of one start.
type lifetime struct {
	backend *Backend
	number  int
}

// ServeHTTP serves a request of this lifetime.
func (l lifetime) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	l.backend.mu.Lock()
	current := l.backend.lifetimes == l.number && !l.backend.down
	l.backend.mu.Unlock()
	if !current {
		panic(http.ErrAbortHandler)
	}
	l.backend.ServeHTTP(w, r)
}

// Crash ends the backend at once, with all that it runs.
func (b *Backend) Crash() {
	b.mu.Lock()
	b.down = true
	server := b.server
	b.mu.Unlock()
	_ = server.Close()
}

// Down reports whether the backend has crashed and not started again.
func (b *Backend) Down() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.down
}

// Entry returns what the backend registers in the store.
func (b *Backend) Entry(state string) map[string]any {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	return map[string]any{
		"address": b.Address, "born": b.born,
		"info":   map[string]any{"service": b.Service, "version": "1", "zone": b.Zone, "capacity": b.Slots},
		"status": map[string]any{"state": state, "sequence": b.sequence, "warmup_left_s": 0},
	}
}

// ServeHTTP answers health probes and runs requests.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if b.Raw != nil && b.Wants != nil && b.takeOver(w, r) {
		return
	}
	h := w.Header()
	h.Set("X-Server-Load", b.load())
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", b.ID)
		return
	}
	id := r.Header.Get("X-Request-Id")
	h.Set("X-Request-Id", id)
	if want := r.Header.Get("X-Expect-Instance"); want != "" && want != b.ID {
		h.Set("X-Instance-Id", b.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	left := 10 * time.Second
	if ms, err := strconv.ParseFloat(r.Header.Get("X-Deadline-Ms"), 64); err == nil {
		left = time.Duration(ms) * time.Millisecond
	}
	slots := b.enter(r, left)
	if slots == nil {
		h.Set("X-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.leave(slots)
	if b.Runs != nil && !b.Runs(b, r) {
		panic(http.ErrAbortHandler)
	}
	select {
	case <-time.After(b.Work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Stamp", fmt.Sprintf("%s.%s.%x", b.ID, id, sha256.Sum256(body)))
	_, _ = io.WriteString(w, Body(b.ID, id))
}

// takeOver hands the connection of a request to Raw and closes it afterwards.
func (b *Backend) takeOver(w http.ResponseWriter, r *http.Request) bool {
	hijacker, ok := w.(http.Hijacker)
	if !ok || !b.Wants(r) {
		return false
	}
	c, _, err := hijacker.Hijack()
	if err != nil {
		return false
	}
	defer func() { _ = c.Close() }()
	return b.Raw(c, r)
}

// Body returns the body of the answer of a backend to a request.
func Body(backend, id string) string {
	return "backend " + backend + " answers " + id + "\n"
}

// enter waits for a slot and returns the slots of this lifetime, or nil if the request does not run.
func (b *Backend) enter(r *http.Request, left time.Duration) chan struct{} {
	b.mu.Lock()
	slots := b.slots
	if b.running+b.waiting >= b.Slots+b.Queue {
		b.mu.Unlock()
		return nil
	}
	b.waiting++
	b.mu.Unlock()
	entered := false
	select {
	case slots <- struct{}{}:
		entered = true
	case <-time.After(left):
	case <-r.Context().Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if slots != b.slots {
		return nil
	}
	b.waiting--
	if !entered {
		return nil
	}
	b.running++
	return slots
}

func (b *Backend) leave(slots chan struct{}) {
	<-slots
	b.mu.Lock()
	defer b.mu.Unlock()
	if slots == b.slots {
		b.running--
	}
}

func (b *Backend) load() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.Slots)
}
