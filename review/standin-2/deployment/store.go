package deployment

import (
	"encoding/base64"
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items of one page of a range.
const pageSize = 500

type item struct {
	Key       string `json:"key"`
	Value     string `json:"value,omitempty"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created,omitempty"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type page struct {
	Items     []item `json:"items"`
	Truncated bool   `json:"truncated"`
	Revision  int64  `json:"current_rev"`
}

type eventList struct {
	Events   []item `json:"events"`
	Revision int64  `json:"current_rev"`
}

type single struct {
	item
	CurrentRevision int64 `json:"current_rev"`
}

// Store stands in for the platform's metadata store.
type Store struct {
	mu       sync.Mutex
	items    map[string]item
	events   []item
	revision int64
	changed  chan struct{}
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{items: make(map[string]item), revision: 1, changed: make(chan struct{})}
}

// Put writes a value and returns its revision.
func (s *Store) Put(key string, value any) int64 {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(raw)})
}

// Delete removes a key.
func (s *Store) Delete(key string) int64 {
	return s.write(item{Key: key, Tombstone: true})
}

func (s *Store) write(i item) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	i.Created = s.revision
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
	return s.revision
}

// ServeHTTP serves the three reading calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/v1/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		i, ok := s.items[q.Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, single{i, s.revision})
	case "/v1/kv-range":
		s.mu.Lock()
		defer s.mu.Unlock()
		p := page{Revision: s.revision, Items: []item{}}
		for key, i := range s.items {
			if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
				p.Items = append(p.Items, i)
			}
		}
		slices.SortFunc(p.Items, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
		if len(p.Items) > pageSize {
			p.Items, p.Truncated = p.Items[:pageSize], true
		}
		reply(w, p)
	case "/v1/kv-watch":
		s.watch(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		l := eventList{Revision: s.revision, Events: []item{}}
		for _, e := range s.events {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				l.Events = append(l.Events, e)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(l.Events) > 0 {
			reply(w, l)
			return
		}
		select {
		case <-changed:
		case <-end:
			reply(w, l)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
