package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is how often a backend writes its entry.
const heartbeat = 1500 * time.Millisecond

// run is a request that a backend began to work on.
type run struct {
	id, instance, tenant string
	start                time.Time
	end                  time.Time
}

// backend is a sound stand-in of an application backend: it works on capacity requests at a time and queues a few more.
type backend struct {
	id, service, zone, address string
	capacity, queue            int
	work                       time.Duration
	record                     *record
	store                      *store

	slots            chan struct{}
	running, waiting atomic.Int64
	sequence         int64
	state            string
	born             int64
	server           *http.Server
	stopBeats        chan struct{}
	stopOnce         sync.Once

	mu   sync.Mutex
	runs map[string]*run
}

func (b *backend) start() error {
	b.slots = make(chan struct{}, b.capacity)
	b.runs = make(map[string]*run)
	b.state = "ready"
	b.born = time.Now().UnixMilli()
	b.stopBeats = make(chan struct{})
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", b.address)
	if err != nil {
		return err
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }()
	b.beat()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-b.stopBeats:
				return
			case <-ticker.C:
				b.beat()
			}
		}
	}()
	return nil
}

func (b *backend) beat() {
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case <-b.stopBeats:
		return
	default:
	}
	b.sequence++
	b.store.put("servers/"+b.id, map[string]any{
		"address": b.address, "born": b.born,
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": b.zone, "capacity": b.capacity},
		"status": map[string]any{"state": b.state, "sequence": b.sequence, "warmup_left_s": 0},
	})
}

// drain reports that the backend drains.
func (b *backend) drain() {
	b.mu.Lock()
	b.state = "draining"
	b.mu.Unlock()
	b.beat()
}

// unlist removes the backend's entry without a report that it drains, and returns the time of the acknowledgement. The backend
// goes on serving.
func (b *backend) unlist() time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopOnce.Do(func() { close(b.stopBeats) })
	return b.store.remove("servers/" + b.id)
}

func (b *backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Instance-Id", b.id)
	id := r.Header.Get("X-Request-Id")
	if id != "" {
		h.Set("X-Request-Id", id)
	}
	arrived := time.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	notRun := func(status int) {
		h.Set("X-Not-Executed", "1")
		b.setLoad(h)
		w.WriteHeader(status)
	}
	if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != b.id {
		notRun(http.StatusMisdirectedRequest)
		return
	}
	if b.waiting.Add(1) > int64(b.queue+b.capacity) {
		b.waiting.Add(-1)
		notRun(http.StatusServiceUnavailable)
		return
	}
	select {
	case b.slots <- struct{}{}:
		b.waiting.Add(-1)
	case <-r.Context().Done():
		b.waiting.Add(-1)
		return
	}
	defer func() { <-b.slots }()
	if r.URL.Path == "/health" {
		h.Set("X-Instance-Id", b.id)
		b.setLoad(h)
		return
	}
	b.running.Add(1)
	defer b.running.Add(-1)
	n := &run{id: id, instance: b.id, tenant: r.Header.Get("X-Tenant"), start: time.Now()}
	b.mu.Lock()
	b.runs[id] = n
	b.mu.Unlock()
	b.record.add("run id=%s backend=%s arrived=%s body=%d deadline_ms=%s", id, b.id, b.record.at(arrived), len(body),
		r.Header.Get("X-Deadline-Ms"))
	defer func() {
		b.mu.Lock()
		n.end = time.Now()
		b.mu.Unlock()
		b.record.add("ran id=%s backend=%s", id, b.id)
	}()
	select {
	case <-time.After(b.work):
	case <-r.Context().Done():
		return
	}
	h.Set("X-Server-Stamp", "stamp."+b.id+"."+id)
	b.setLoad(h)
	_, _ = fmt.Fprintf(w, "%s answers %s\n", b.id, id)
}

func (b *backend) setLoad(h http.Header) {
	h.Set("X-Server-Load", fmt.Sprintf("%d,%d,%d", b.running.Load(), b.waiting.Load(), b.capacity))
}

// runOf returns the run of the request, or nil.
func (b *backend) runOf(id string) *run {
	b.mu.Lock()
	defer b.mu.Unlock()
	if n := b.runs[id]; n != nil {
		c := *n
		return &c
	}
	return nil
}

func (b *backend) allRuns() []run {
	b.mu.Lock()
	defer b.mu.Unlock()
	runs := make([]run, 0, len(b.runs))
	for _, n := range b.runs {
		runs = append(runs, *n)
	}
	return runs
}
