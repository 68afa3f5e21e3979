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
	// sequence increases with each request; it orders requests whose arrival times are equal.
	sequence uint64
	// costMs is the expected slot time at the usual speed; 0 if it is not known.
	costMs float64
}

// accountQueue holds the waiting requests of one account at one priority level, in order of arrival.
type accountQueue struct {
	account string
	waiters []*waiter
	// pass is the virtual time at which the account's next request is due, as in stride scheduling.
	pass float64
}

// priorityLevel holds the requests of one rank. Its accounts share the slots by stride scheduling.
type priorityLevel struct {
	class         route.Class
	depth         int
	accountQueues map[string]*accountQueue
	// virtualTime is the highest pass of a request that has started. An account that was idle continues from here,
	// so that it gets no credit for idle time.
	virtualTime float64
	waiting     int
}

// queue orders the waiting requests.
type queue struct {
	// levels are sorted by rank: non-idempotent calls first, then lookups from the deepest to root calls.
	levels  []*priorityLevel
	waiters map[uint64]*waiter
	// lookups is the number of waiting lookups.
	lookups  int
	sequence uint64
	// costMs is the sum of the expected slot times of the waiting requests.
	costMs float64
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
	aq := w.level.accountQueue(w.request.Account)
	aq.waiters = append(aq.waiters, w)
	w.level.waiting++
	q.waiters[w.request.ID] = w
	q.costMs += w.costMs
	if w.request.Class == route.Lookup {
		q.lookups++
	}
}

func (q *queue) remove(w *waiter) {
	aq := w.level.accountQueues[w.request.Account]
	i := slices.Index(aq.waiters, w)
	aq.waiters = slices.Delete(aq.waiters, i, i+1)
	w.level.waiting--
	delete(q.waiters, w.request.ID)
	q.costMs -= w.costMs
	if len(q.waiters) == 0 {
		// Rounding errors of the sum must not accumulate.
		q.costMs = 0
	}
	if w.request.Class == route.Lookup {
		q.lookups--
	}
}

// peek returns the request to run next, or nil.
func (q *queue) peek(newestFirst bool) *waiter {
	return q.peekLevels(q.levels, newestFirst)
}

// peekLookup returns the lookup to run next, or nil.
func (q *queue) peekLookup(newestFirst bool) *waiter {
	i := slices.IndexFunc(q.levels, func(level *priorityLevel) bool { return level.class == route.Lookup })
	if i < 0 {
		return nil
	}
	return q.peekLevels(q.levels[i:], newestFirst)
}

func (q *queue) peekLevels(levels []*priorityLevel, newestFirst bool) *waiter {
	for _, level := range levels {
		if level.waiting == 0 {
			continue
		}
		aq := level.nextAccountQueue()
		if newestFirst {
			return aq.waiters[len(aq.waiters)-1]
		}
		return aq.waiters[0]
	}
	return nil
}

// chargeAccount advances the pass of the account whose request starts, and drops idle accounts that have no debt.
func (q *queue) chargeAccount(w *waiter) {
	level := w.level
	aq := level.accountQueues[w.request.Account]
	level.virtualTime = max(level.virtualTime, aq.pass)
	aq.pass += 1 / w.account.weight
	for id, other := range level.accountQueues {
		if len(other.waiters) == 0 && other.pass <= level.virtualTime {
			delete(level.accountQueues, id)
		}
	}
}

// evictionCandidate returns the lowest-ranked request of the class from the account that exceeds its fair share the most,
// or nil.
func (q *queue) evictionCandidate(class route.Class, newestFirst bool) *waiter {
	var worst *accountQueue
	for _, level := range slices.Backward(q.levels) {
		if level.class != class {
			continue
		}
		for _, aq := range level.accountQueues {
			if len(aq.waiters) > 0 && (worst == nil || aq.isEvictedBefore(worst)) {
				worst = aq
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

// innerEvictionCandidate returns a waiting inner non-idempotent call that was the last to arrive from its account, or nil.
func (q *queue) innerEvictionCandidate() *waiter {
	for _, level := range q.levels {
		if level.class != route.NonIdempotent {
			break
		}
		for _, aq := range level.accountQueues {
			if n := len(aq.waiters); n > 0 && aq.waiters[n-1].request.isInnerNonIdempotent() {
				return aq.waiters[n-1]
			}
		}
	}
	return nil
}

// isEvictedBefore orders the queues of one class by the load share of their account, and queues of one account by depth.
func (aq *accountQueue) isEvictedBefore(other *accountQueue) bool {
	a, b := aq.waiters[0], other.waiters[0]
	return cmp.Or(
		cmp.Compare(b.account.loadShare(), a.account.loadShare()),
		cmp.Compare(a.account.id, b.account.id),
		cmp.Compare(a.level.depth, b.level.depth),
	) < 0
}

func (q *queue) level(r Request) *priorityLevel {
	key := &priorityLevel{class: r.Class, depth: r.Depth}
	if r.Class == route.NonIdempotent {
		key.depth = 0
	}
	i, found := slices.BinarySearchFunc(q.levels, key, compareLevels)
	if !found {
		key.accountQueues = make(map[string]*accountQueue)
		q.levels = slices.Insert(q.levels, i, key)
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

func (p *priorityLevel) accountQueue(account string) *accountQueue {
	aq := p.accountQueues[account]
	if aq == nil {
		aq = &accountQueue{account: account}
		p.accountQueues[account] = aq
	}
	if len(aq.waiters) == 0 {
		aq.pass = max(aq.pass, p.virtualTime)
	}
	return aq
}

// nextAccountQueue returns the non-empty account queue with the lowest pass, or nil.
func (p *priorityLevel) nextAccountQueue() *accountQueue {
	var due *accountQueue
	for _, aq := range p.accountQueues {
		if len(aq.waiters) == 0 {
			continue
		}
		if due == nil || cmp.Or(cmp.Compare(aq.pass, due.pass), cmp.Compare(aq.account, due.account)) < 0 {
			due = aq
		}
	}
	return due
}

func sortByArrival(waiters []*waiter) {
	slices.SortFunc(waiters, func(a, b *waiter) int { return cmp.Compare(a.sequence, b.sequence) })
}
