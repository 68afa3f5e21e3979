package gate

import (
	"cmp"
	"slices"

	"coltsfootusher.example/core/route"
)

// waiter is a request in the queue.
type waiter struct {
	request Request
	account *account
	level   *priorityLevel
	// sequence grows with each request, as arrival times can be equal.
	sequence uint64
}

// accountQueue holds the waiting requests of one account in one band, in order of arrival.
type accountQueue struct {
	account string
	waiters []*waiter
	// pass is the virtual time at which the account's next request is due.
	pass float64
}

// priorityLevel holds the requests of one rank. Its lanes share the slots by stride scheduling.
type priorityLevel struct {
	class         route.Class
	depth         int
	accountQueues map[string]*accountQueue
	// virtualTime is the pass of the request that started last. An account that comes back starts here,
	// so that idle time earns no credit.
	virtualTime float64
	waiting     int
}

// queue orders the waiting requests.
type queue struct {
	// levels are sorted by rank: once-only first, then lookups from the deepest to root calls.
	levels   []*priorityLevel
	waiters  map[uint64]*waiter
	lookups  int
	sequence uint64
}

func newQueue() *queue {
	return &queue{waiters: make(map[uint64]*waiter)}
}

func (q *queue) len() int {
	return len(q.waiters)
}

func (q *queue) add(w *waiter) {
	q.sequence++
	w.sequence = q.sequence
	w.level = q.level(w.request)
	l := w.level.accountQueue(w.request.Account)
	l.waiters = append(l.waiters, w)
	w.level.waiting++
	q.waiters[w.request.ID] = w
	if w.request.Class == route.Lookup {
		q.lookups++
	}
}

func (q *queue) remove(w *waiter) {
	l := w.level.accountQueues[w.request.Account]
	i := slices.Index(l.waiters, w)
	l.waiters = slices.Delete(l.waiters, i, i+1)
	w.level.waiting--
	delete(q.waiters, w.request.ID)
	if w.request.Class == route.Lookup {
		q.lookups--
	}
}

// peek returns the request that is next to run, or nil.
func (q *queue) peek(newestFirst bool) *waiter {
	return q.peekLevels(q.levels, newestFirst)
}

// peekLookup returns the lookup that is next to run, or nil.
func (q *queue) peekLookup(newestFirst bool) *waiter {
	i := slices.IndexFunc(q.levels, func(b *priorityLevel) bool { return b.class == route.Lookup })
	if i < 0 {
		return nil
	}
	return q.peekLevels(q.levels[i:], newestFirst)
}

func (q *queue) peekLevels(bands []*priorityLevel, newestFirst bool) *waiter {
	for _, b := range bands {
		if b.waiting == 0 {
			continue
		}
		l := b.nextAccountQueue()
		if newestFirst {
			return l.waiters[len(l.waiters)-1]
		}
		return l.waiters[0]
	}
	return nil
}

// chargeAccount advances the account's pass for a request that starts.
func (q *queue) chargeAccount(w *waiter) {
	b := w.level
	l := b.accountQueues[w.request.Account]
	b.virtualTime = max(b.virtualTime, l.pass)
	l.pass += 1 / w.account.weight
	for id, other := range b.accountQueues {
		if len(other.waiters) == 0 && other.pass <= b.virtualTime {
			delete(b.accountQueues, id)
		}
	}
}

// evictionCandidate returns the lowest-ranked request of the class, of the account most over its fair share, or nil.
func (q *queue) evictionCandidate(class route.Class, newestFirst bool) *waiter {
	var worst *accountQueue
	for _, b := range slices.Backward(q.levels) {
		if b.class != class {
			continue
		}
		for _, l := range b.accountQueues {
			if len(l.waiters) > 0 && (worst == nil || l.isEvictedBefore(worst)) {
				worst = l
			}
		}
	}
	switch {
	case worst == nil:
		return nil
	case newestFirst:
		return worst.waiters[0]
	default:
		return worst.waiters[len(worst.waiters)-1]
	}
}

// innerEvictionCandidate returns the latest of the calls of targets that have the rank of operations, or nil.
func (q *queue) innerEvictionCandidate() *waiter {
	for _, b := range q.levels {
		if b.class != route.NonIdempotent {
			break
		}
		for _, l := range b.accountQueues {
			if n := len(l.waiters); n > 0 && l.waiters[n-1].request.isInnerNonIdempotent() {
				return l.waiters[n-1]
			}
		}
	}
	return nil
}

// isEvictedBefore compares lanes of one class by the share of their account, and the lanes of one account by depth.
func (l *accountQueue) isEvictedBefore(other *accountQueue) bool {
	a, b := l.waiters[0], other.waiters[0]
	return cmp.Or(
		cmp.Compare(b.account.loadShare(), a.account.loadShare()),
		cmp.Compare(a.account.id, b.account.id),
		cmp.Compare(a.level.depth, b.level.depth),
	) < 0
}

// loadShare returns the calls of the account at this gate in proportion to its weight.
func (a *account) loadShare() float64 {
	return float64(a.running+a.waiting) / a.weight
}

func (q *queue) level(r Request) *priorityLevel {
	wanted := &priorityLevel{class: r.Class, depth: r.Depth}
	if r.Class == route.NonIdempotent {
		wanted.depth = 0
	}
	i, found := slices.BinarySearchFunc(q.levels, wanted, compareLevels)
	if !found {
		wanted.accountQueues = make(map[string]*accountQueue)
		q.levels = slices.Insert(q.levels, i, wanted)
	}
	return q.levels[i]
}

func compareLevels(a, b *priorityLevel) int {
	if a.class != b.class {
		if a.class == route.NonIdempotent {
			return -1
		}
		return 1
	}
	return cmp.Compare(b.depth, a.depth)
}

func (b *priorityLevel) accountQueue(account string) *accountQueue {
	l := b.accountQueues[account]
	if l == nil {
		l = &accountQueue{account: account}
		b.accountQueues[account] = l
	}
	if len(l.waiters) == 0 {
		l.pass = max(l.pass, b.virtualTime)
	}
	return l
}

// nextAccountQueue returns the lane with waiting requests that is due first.
func (b *priorityLevel) nextAccountQueue() *accountQueue {
	var due *accountQueue
	for _, l := range b.accountQueues {
		if len(l.waiters) == 0 {
			continue
		}
		if due == nil || cmp.Or(cmp.Compare(l.pass, due.pass), cmp.Compare(l.account, due.account)) < 0 {
			due = l
		}
	}
	return due
}

func sortByArrival(waiters []*waiter) {
	slices.SortFunc(waiters, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
}
