package main

import (
	"context"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store, or a change of it.
type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

// store is a sound stand-in of the platform's metadata store: linearizable, with a single revision counter and a whole history.
type store struct {
	mu      sync.Mutex
	items   map[string]item
	events  []item
	rev     int64
	changed chan struct{}
	doors   []*door
}

// door is the address at which one machine reaches the store.
type door struct {
	store  *store
	server *http.Server
	mu     sync.Mutex
	// denied is true while the store turns the machine away with 503; turned is closed when it begins to.
	denied bool
	turned chan struct{}
	// policyReads counts the answered reads of the configuration, policyReadAt is the time of the latest.
	policyReads  int
	policyReadAt time.Time
}

func newStore() *store {
	return &store{items: make(map[string]item), rev: 1, changed: make(chan struct{})}
}

// open opens a door at the address.
func (s *store) open(address string) (*door, error) {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, err
	}
	d := &door{store: s, turned: make(chan struct{})}
	d.server = &http.Server{Handler: d}
	s.doors = append(s.doors, d)
	go func() { _ = d.server.Serve(listener) }()
	return d, nil
}

// deny makes the store turn the machine away, and cuts its waiting watches.
func (d *door) deny() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.denied {
		d.denied = true
		close(d.turned)
	}
}

// admit makes the store serve the machine again.
func (d *door) admit() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.denied, d.turned = false, make(chan struct{})
}

// reads returns the number of answered reads of the configuration and the time of the latest.
func (d *door) reads() (int, time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.policyReads, d.policyReadAt
}

// put writes a value and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
}

// remove deletes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time {
	return s.write(item{Key: key, Tombstone: true})
}

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	i.Revision, i.Created = s.rev, s.rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.events = append(s.events, i)
	s.items[i.Key] = i
	if i.Tombstone {
		delete(s.items, i.Key)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

// ServeHTTP answers the read calls of the store.
func (d *door) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	d.mu.Lock()
	denied, turned := d.denied, d.turned
	if !denied && r.URL.Path == "/v1/kv-key" && r.URL.Query().Get("key") == "op/config" {
		d.policyReads++
		d.policyReadAt = time.Now()
	}
	d.mu.Unlock()
	if denied {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	d.store.serve(w, r, turned)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request, turned <-chan struct{}) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.Lock()
		i, ok := s.items[q.Get("key")]
		rev := s.rev
		s.mu.Unlock()
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, struct {
			item
			Current int64 `json:"current_rev"`
		}{i, rev})
	case "/v1/kv-range":
		s.serveRange(w, q.Get("prefix"), q.Get("after"))
	case "/v1/kv-watch":
		s.serveWatch(w, r, turned)
	default:
		http.NotFound(w, r)
	}
}

func (s *store) serveRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	items := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, i)
		}
	}
	rev := s.rev
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	reply(w, map[string]any{"items": items, "truncated": false, "current_rev": rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request, turned <-chan struct{}) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, map[string]any{"events": events, "current_rev": rev})
			return
		case <-turned:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
