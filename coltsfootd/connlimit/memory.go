package connlimit

import (
	"container/heap"
	"sync"
)

// memory accounts for the headers of the connections of one listener.
type memory struct {
	limit int64

	mu   sync.Mutex
	used int64
	// incomplete contains the connections with accounted memory whose header is incomplete.
	incomplete largestFirst
}

// reserve accounts for the memory of an incomplete header. If it exceeds the limit, the connections with the largest incomplete
// headers are closed. It returns false if the connection itself was closed.
func (l *Listener) reserve(c *Conn, size int64) bool {
	if l.memory.limit <= 0 {
		return true
	}
	victims, kept := l.memory.reserve(c, size)
	for _, victim := range victims {
		victim.closeFor(HeaderMemory)
	}
	return kept
}

func (m *memory) reserve(c *Conn, size int64) (victims []*Conn, kept bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if c.released {
		return nil, false
	}
	m.used += size - c.held
	if c.held == 0 {
		c.held = size
		heap.Push(&m.incomplete, c)
	} else {
		c.held = size
		heap.Fix(&m.incomplete, c.position)
	}
	for m.used > m.limit && len(m.incomplete) > 0 {
		victim := m.incomplete[0]
		m.releaseLocked(victim)
		victim.released = true
		victims = append(victims, victim)
	}
	return victims, !c.released
}

// complete keeps the memory accounted, but excludes the connection from those that are closed if memory runs out.
func (m *memory) complete(c *Conn) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.exclude(c)
}

// release returns the accounted memory. If the connection is closed, nothing more is accounted for it.
func (m *memory) release(c *Conn, closed bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.releaseLocked(c)
	c.released = c.released || closed
}

func (m *memory) releaseLocked(c *Conn) {
	m.exclude(c)
	m.used -= c.held
	c.held = 0
}

func (m *memory) exclude(c *Conn) {
	if c.position < len(m.incomplete) && m.incomplete[c.position] == c {
		heap.Remove(&m.incomplete, c.position)
	}
}

func (m *memory) usedBytes() int64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.used
}

// largestFirst is a heap of connections with the largest accounted memory first.
type largestFirst []*Conn

// Len returns the number of connections.
func (h largestFirst) Len() int { return len(h) }

// Less reports whether the connection at i has more accounted memory than that at j.
func (h largestFirst) Less(i, j int) bool { return h[i].held > h[j].held }

// Swap exchanges two connections.
func (h largestFirst) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].position, h[j].position = i, j
}

// Push adds a connection at the end.
func (h *largestFirst) Push(x any) {
	c, _ := x.(*Conn)
	c.position = len(*h)
	*h = append(*h, c)
}

// Pop removes the connection at the end.
func (h *largestFirst) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return last
}
