package inflight

import (
	"crypto/rand"
	"encoding/hex"
	"sync"

	"github.com/zeebo/errs"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/retry"
)

// Error is the class of errors of this package.
var Error = errs.Class("inflight")

const handleBytes = 16

// Parent is a request that the local target is processing and that may make inner calls.
type Parent struct {
	Call     call.Call
	Deadline clock.Millis
	// Allowance holds the retries left for the request and its inner calls.
	Allowance *retry.Allowance
	// Done is closed when the request has ended.
	Done <-chan struct{}

	mu       sync.Mutex
	children map[string]*childOperation
	refusal  call.Reason
}

// RecordRefusal records why an inner call was not run; an empty reason is ignored.
func (p *Parent) RecordRefusal(reason call.Reason) {
	if reason == "" {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.refusal = reason
}

// Refusal returns the reason of the last inner call that was not run, or "".
func (p *Parent) Refusal() call.Reason {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.refusal
}

// childOperation is an inner non-idempotent call. Its lock is held while its id is obtained.
type childOperation struct {
	mu sync.Mutex
	id string
}

// ChildID returns the operation id recorded for the position. The first call, and any call after an error, obtains it
// from newID. The id stays the same while the parent is in flight, so that a retried inner call reaches the same home.
func (p *Parent) ChildID(position string, newID func() (string, error)) (string, error) {
	c := p.child(position)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.id != "" {
		return c.id, nil
	}
	id, err := newID()
	if err != nil {
		return "", err
	}
	c.id = id
	return id, nil
}

func (p *Parent) child(position string) *childOperation {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.children[position]
	if !ok {
		c = &childOperation{}
		if p.children == nil {
			p.children = make(map[string]*childOperation)
		}
		p.children[position] = c
	}
	return c
}

// Table maps handles to requests in flight. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	parents map[string]*Parent
}

// New returns an empty table.
func New() *Table {
	return &Table{parents: make(map[string]*Parent)}
}

// Add stores the request and returns the handle that allows its target to make inner calls.
func (t *Table) Add(p *Parent) (string, error) {
	var raw [handleBytes]byte
	if _, err := rand.Read(raw[:]); err != nil {
		return "", Error.Wrap(err)
	}
	handle := hex.EncodeToString(raw[:])
	t.mu.Lock()
	defer t.mu.Unlock()
	t.parents[handle] = p
	return handle, nil
}

// Get returns the request in flight with the handle.
func (t *Table) Get(handle string) (*Parent, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	p, ok := t.parents[handle]
	return p, ok
}

// Remove invalidates the handle.
func (t *Table) Remove(handle string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.parents, handle)
}

// Len returns the number of requests in flight.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.parents)
}
