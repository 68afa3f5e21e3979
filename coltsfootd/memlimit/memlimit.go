package memlimit

import (
	"container/heap"
	"sync"
	"sync/atomic"
)

// Budget bounds the memory of all holds together. It is safe for concurrent use.
type Budget struct {
	// limit is the memory in bytes; 0 means no limit.
	limit int64
	// exempt is the part of each hold that is not accounted, so that small holds don't depend on large ones.
	exempt int64
	// evicted counts the holds that gave way.
	evicted atomic.Int64

	mu   sync.Mutex
	used int64
	// incomplete contains the accounted holds that may be evicted.
	incomplete largestFirst
}

// New returns a budget of limit bytes, or without a limit if that is 0. The first exempt bytes of each hold are not accounted.
func New(limit, exempt int64) *Budget {
	return &Budget{limit: limit, exempt: exempt}
}

// Limit returns the memory that all holds together may have, in bytes; 0 means no limit.
func (b *Budget) Limit() int64 {
	return b.limit
}

// Exempts reports whether a hold of the size is not accounted.
func (b *Budget) Exempts(size int64) bool {
	return b.limit <= 0 || size <= b.exempt
}

// Used returns the number of accounted bytes.
func (b *Budget) Used() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Evicted returns the number of holds that gave way so far.
func (b *Budget) Evicted() int64 {
	return b.evicted.Load()
}

// Owner is what a hold belongs to.
type Owner interface {
	// Evict is called when the hold gives way. It must end what takes the memory, and must not block.
	Evict()
}

// Hold is the memory of one thing that arrives. Its methods may be called by one goroutine at a time.
type Hold struct {
	budget *Budget
	owner  Owner
	// size is the accounted memory, position the place among the incomplete holds. They are protected by the mutex of the budget,
	// and closed is true once nothing more is accounted.
	size     int64
	position int
	closed   bool
	// accounted is true while size may be above 0.
	accounted bool
}

// NewHold returns a hold without memory.
func (b *Budget) NewHold(owner Owner) Hold {
	return Hold{budget: b, owner: owner}
}

// Grow sets the memory of an incomplete hold. If the limit is exceeded, the largest incomplete holds are evicted. It returns
// false if this one was.
func (h *Hold) Grow(size int64) bool {
	if h.budget.Exempts(size) {
		return true
	}
	h.accounted = true
	victims, kept := h.budget.grow(h, size-h.budget.exempt)
	for _, victim := range victims {
		victim.owner.Evict()
	}
	return kept
}

// Keep sets the memory of a hold that is complete and isn't evicted any more.
func (h *Hold) Keep(size int64) {
	if !h.accounted {
		return
	}
	h.budget.keep(h, max(0, size-h.budget.exempt))
}

// Release returns the memory, so that the hold can be used again.
func (h *Hold) Release() {
	if !h.accounted {
		return
	}
	h.accounted = false
	h.budget.keep(h, 0)
}

// Close returns the memory for good. It may be called by any goroutine.
func (h *Hold) Close() {
	h.budget.close(h)
}

// Evicted reports whether the hold gave way or was closed.
func (h *Hold) Evicted() bool {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.closed
}

func (b *Budget) grow(h *Hold, size int64) (victims []*Hold, kept bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.closed {
		return nil, false
	}
	b.used += size - h.size
	isNew := h.size == 0
	h.size = size
	if isNew {
		heap.Push(&b.incomplete, h)
	} else if b.isIncomplete(h) {
		heap.Fix(&b.incomplete, h.position)
	}
	for b.used > b.limit && len(b.incomplete) > 0 {
		victim := b.incomplete[0]
		b.resize(victim, 0)
		victim.closed = true
		victims = append(victims, victim)
	}
	b.evicted.Add(int64(len(victims)))
	return victims, !h.closed
}

func (b *Budget) keep(h *Hold, size int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.closed {
		b.resize(h, size)
	}
}

func (b *Budget) close(h *Hold) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !h.closed {
		b.resize(h, 0)
	}
	h.closed = true
}

// resize sets the memory of a hold and excludes it from those that may be evicted; the mutex must be held.
func (b *Budget) resize(h *Hold, size int64) {
	if b.isIncomplete(h) {
		heap.Remove(&b.incomplete, h.position)
	}
	b.used += size - h.size
	h.size = size
}

func (b *Budget) isIncomplete(h *Hold) bool {
	return h.position < len(b.incomplete) && b.incomplete[h.position] == h
}

// largestFirst is a heap of holds with the largest first.
type largestFirst []*Hold

// Len returns the number of holds.
func (l largestFirst) Len() int { return len(l) }

// Less reports whether the hold at i has more accounted memory than that at j.
func (l largestFirst) Less(i, j int) bool { return l[i].size > l[j].size }

// Swap exchanges two holds.
func (l largestFirst) Swap(i, j int) {
	l[i], l[j] = l[j], l[i]
	l[i].position, l[j].position = i, j
}

// Push adds a hold at the end.
func (l *largestFirst) Push(x any) {
	h, _ := x.(*Hold)
	h.position = len(*l)
	*l = append(*l, h)
}

// Pop removes the hold at the end.
func (l *largestFirst) Pop() any {
	old := *l
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*l = old[:len(old)-1]
	return last
}
