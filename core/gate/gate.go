package gate

import (
	"math"
	"math/rand/v2"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

const (
	// defaultNewestFirstAfterMs is the time for which calls must have waited without a break before newest-first order applies.
	// Shorter bursts are cleared by oldest-first order without missed deadlines.
	defaultNewestFirstAfterMs clock.Millis = 50
	// coldStartShare is the part of the slots that a target gets at the moment it starts.
	coldStartShare = 0.1
	// minRetryAfterMs and maxRetryAfterMs bound the advice given with a refusal, before jitter.
	minRetryAfterMs = 100
	maxRetryAfterMs = 10_000
)

// Request is a call that asks to run at the target. IDs must be unique among the calls that run or wait.
type Request struct {
	ID      uint64
	Account string
	// Weight is the account's share relative to other accounts; values that are not positive count as 1.
	Weight  float64
	Class   route.Class
	Depth   int
	Arrival clock.Millis
	// Deadline is the time after which the caller has no use for a response.
	Deadline clock.Millis
}

// Decision ends the wait of a request: it may run now, or it is refused and was not run.
type Decision struct {
	ID       uint64
	Admitted bool
	// Reason is set when the request is not admitted.
	Reason call.Reason
	// RetryAfterMs is set when the request is not admitted and a later attempt can succeed.
	RetryAfterMs clock.Millis
}

// Config holds the policy parameters of a gate.
type Config struct {
	// Slots is the published number of calls that the target runs at a time.
	Slots int
	// QueueLimit is the number of calls that may wait.
	QueueLimit int
	// QueueTimeoutMs bounds the wait of a lookup; 0 means that only the deadline bounds it.
	QueueTimeoutMs clock.Millis
	// ColdStartMs is the time in which the limit of a started target grows to its full value; 0 means at once.
	ColdStartMs clock.Millis
	// LookupShare is the part of the slots that root lookups get before calls of targets, which otherwise go first.
	LookupShare float64
	// Enabled is false when every call is admitted at once.
	Enabled bool
}

// Sample is the target's handling of one call.
type Sample struct {
	// LatencyMs is the latency of the target alone, without the wait at the gate.
	LatencyMs float64
	Failed    bool
	// Cancelled is true when the call ended before the target answered, so that its latency is only a lower bound.
	Cancelled bool
}

// Limiter derives the number of calls to run at a time from the target's behaviour.
type Limiter interface {
	// Limit returns the number of calls to run at a time, at least 1.
	Limit() int
	// Observe takes the sample of a call that has ended; running counts the call itself.
	Observe(sample Sample, running int, now clock.Millis)
}

// resizer is a Limiter that follows the published number of slots.
type resizer interface {
	Resize(slots int)
}

type runningCall struct {
	class   route.Class
	account *account
}

// account counts the calls of one client account at this gate.
type account struct {
	id               string
	weight           float64
	running, waiting int
}

// Gate is the admission control for one target.
type Gate struct {
	config  Config
	limiter Limiter
	random  *rand.Rand

	accounts       map[string]*account
	running        map[uint64]runningCall
	runningLookups int
	queue          *queue
	serviceTimes   map[route.Class]*serviceTimeEstimate

	leaving         bool
	targetStartedAt clock.Millis
	// queueNonEmptySince is the time since which the queue has not been empty.
	queueNonEmptySince clock.Millis
	newestFirstAfterMs clock.Millis
	// nonIdempotentRefusedAt is the last time at which a waiting once-only call was refused.
	// Lookups do not start in the same millisecond.
	nonIdempotentRefusedAt clock.Millis
}

// New returns a gate for a target that is warm; call TargetStarted for a cold one.
func New(config Config, limiter Limiter, random *rand.Rand, now clock.Millis) *Gate {
	g := &Gate{
		limiter:                limiter,
		random:                 random,
		accounts:               make(map[string]*account),
		running:                make(map[uint64]runningCall),
		queue:                  newQueue(),
		serviceTimes:           map[route.Class]*serviceTimeEstimate{route.Lookup: {}, route.NonIdempotent: {}},
		targetStartedAt:        math.MinInt64 / 2,
		queueNonEmptySince:     now,
		newestFirstAfterMs:     defaultNewestFirstAfterMs,
		nonIdempotentRefusedAt: math.MinInt64,
	}
	g.Configure(config, now)
	return g
}

// Configure changes the policy parameters. Calls that run or wait stay.
func (g *Gate) Configure(config Config, now clock.Millis) []Decision {
	config.Slots = max(1, config.Slots)
	config.QueueLimit = max(0, config.QueueLimit)
	g.config = config
	if r, ok := g.limiter.(resizer); ok {
		r.Resize(config.Slots)
	}
	return g.dispatch(now, nil)
}

// SetLeaving sets whether new calls are refused because the target or its node leaves.
// Calls that wait stay and are decided as usual, since a graceful shutdown interrupts no request.
func (g *Gate) SetLeaving(leaving bool, now clock.Millis) []Decision {
	g.leaving = leaving
	return g.dispatch(now, nil)
}

// TargetStarted begins the slow start of a cold target and forgets the service times of its predecessor.
func (g *Gate) TargetStarted(now clock.Millis) {
	g.targetStartedAt = now
	for _, e := range g.serviceTimes {
		*e = serviceTimeEstimate{}
	}
}

// Offer asks to run a request. The decisions cover other requests too when this one displaces them.
// A request without a decision waits; a later decision names it.
func (g *Gate) Offer(r Request, now clock.Millis) []Decision {
	if g.leaving {
		return g.refuse(nil, r, call.ReasonLeaving)
	}
	if !g.config.Enabled {
		return g.start(nil, g.account(r), r)
	}
	if reason := g.deadlineReason(r, now); reason != "" {
		return g.refuse(nil, r, reason)
	}
	if g.queue.len() == 0 {
		g.queueNonEmptySince = now
	}
	g.enqueue(r)
	decisions := g.dispatch(now, nil)
	if g.queueOverLimit() {
		decisions = g.evict(decisions, now)
	}
	return decisions
}

// Done tells that an admitted call has ended. A call that is not running is ignored.
func (g *Gate) Done(id uint64, s Sample, now clock.Millis) []Decision {
	ended, ok := g.running[id]
	if !ok {
		return nil
	}
	g.limiter.Observe(s, len(g.running), now)
	g.serviceTimes[ended.class].observe(s, now)
	delete(g.running, id)
	ended.account.running--
	g.dropIdleAccount(ended.account)
	if ended.class == route.Lookup {
		g.runningLookups--
	}
	return g.dispatch(now, nil)
}

// Cancel removes a waiting call whose caller has left. A call that does not wait is ignored.
func (g *Gate) Cancel(id uint64, now clock.Millis) []Decision {
	w := g.queue.waiters[id]
	if w == nil {
		return nil
	}
	g.remove(w)
	return g.dispatch(now, []Decision{{ID: id, Reason: call.ReasonCallerGone}})
}

// Tick starts calls that fit since the limit has grown, and then refuses waiting calls whose time has passed.
// The gate's owner calls it every 5 to 10 ms.
func (g *Gate) Tick(now clock.Millis) []Decision {
	decisions := g.dispatch(now, nil)
	var expired []*waiter
	for _, w := range g.queue.waiters {
		if g.expiryReason(w.request, now) != "" {
			expired = append(expired, w)
		}
	}
	sortByArrival(expired)
	for _, w := range expired {
		g.remove(w)
		decisions = g.refuseQueued(decisions, w, g.expiryReason(w.request, now), now)
	}
	return g.dispatch(now, decisions)
}

// Load returns the gate's report of its own state.
func (g *Gate) Load() call.Load {
	limit := g.config.Slots
	if g.config.Enabled {
		limit = min(limit, g.limiter.Limit())
	}
	return call.Load{
		Running: len(g.running),
		Waiting: g.queue.len(),
		Limit:   limit,
		WaitMs:  clock.Millis(g.expectedWaitMs()),
		Leaving: g.leaving,
	}
}

// Idle reports whether no call runs or waits.
func (g *Gate) Idle() bool {
	return len(g.running) == 0 && g.queue.len() == 0
}

// dispatch starts waiting calls in order of rank while there is room, and appends the decisions.
func (g *Gate) dispatch(now clock.Millis, decisions []Decision) []Decision {
	for {
		w := g.next(now)
		if w == nil || !g.hasRoom(w.request.Class, now) {
			return decisions
		}
		g.remove(w)
		if reason := g.deadlineReason(w.request, now); reason != "" && g.config.Enabled {
			decisions = g.refuseQueued(decisions, w, reason, now)
			continue
		}
		g.queue.chargeAccount(w)
		decisions = g.start(decisions, g.account(w.request), w.request)
	}
}

// next returns the waiting call that is to start next, or nil. Calls of targets go before root lookups, because work is lost if
// they fail; where they alone could use up the target, lookups have a share of the slots.
func (g *Gate) next(now clock.Millis) *waiter {
	pressure := g.useNewestFirst(now)
	w := g.queue.peek(pressure)
	if w == nil || !w.request.isInnerNonIdempotent() ||
		float64(g.runningLookups) >= g.config.LookupShare*float64(g.slowStartSlots(now)) {
		return w
	}
	if lookup := g.queue.peekLookup(pressure); lookup != nil && g.hasRoom(route.Lookup, now) {
		return lookup
	}
	return w
}

// isInnerNonIdempotent reports whether the request has the rank of an operation because it is a call of a target.
func (r Request) isInnerNonIdempotent() bool {
	return r.Class == route.NonIdempotent && r.Depth > 0
}

// hasRoom reports whether a call of the class may start. Once-only calls are not held back by the adaptive limit,
// since its signal can be wrong and they are shed last; the published slots and the slow start bound both classes.
func (g *Gate) hasRoom(class route.Class, now clock.Millis) bool {
	if !g.config.Enabled {
		return true
	}
	limit := g.slowStartSlots(now)
	if class == route.Lookup {
		if now == g.nonIdempotentRefusedAt {
			return false
		}
		limit = min(limit, max(1, g.limiter.Limit()))
	}
	return len(g.running) < limit
}

// slowStartSlots returns the slots that a target may use at its present age.
func (g *Gate) slowStartSlots(now clock.Millis) int {
	age := now - g.targetStartedAt
	if age >= g.config.ColdStartMs {
		return g.config.Slots
	}
	share := coldStartShare + (1-coldStartShare)*float64(age)/float64(g.config.ColdStartMs)
	return max(1, int(share*float64(g.config.Slots)))
}

func (g *Gate) useNewestFirst(now clock.Millis) bool {
	return g.queue.len() > 0 && now-g.queueNonEmptySince >= g.newestFirstAfterMs
}

// queueOverLimit reports whether a waiting call must be refused. Once-only calls may wait beyond the queue limit
// as long as each of them gets the slot of a lookup that still runs.
func (g *Gate) queueOverLimit() bool {
	if g.queue.lookups > 0 {
		return g.queue.len() > g.config.QueueLimit
	}
	return g.queue.len() > max(g.config.QueueLimit, g.runningLookups)
}

// evict refuses the lowest-ranked call of the account most over its fair share; lookups before once-only calls, but calls of
// targets before the lookups that have a share of the queue.
func (g *Gate) evict(decisions []Decision, now clock.Millis) []Decision {
	class := route.NonIdempotent
	if g.queue.lookups > 0 {
		class = route.Lookup
	}
	w := g.queue.evictionCandidate(class, g.useNewestFirst(now))
	if class == route.Lookup && float64(g.queue.lookups) <= g.config.LookupShare*float64(g.config.QueueLimit) {
		if call := g.queue.innerEvictionCandidate(); call != nil {
			w = call
		}
	}
	g.remove(w)
	return g.refuseQueued(decisions, w, call.ReasonOverloaded, now)
}

// deadlineReason returns why a request cannot finish before its deadline, or "" when it can.
func (g *Gate) deadlineReason(r Request, now clock.Millis) call.Reason {
	left := r.Deadline - now
	switch {
	case left <= 0:
		return call.ReasonDeadlineExceeded
	case float64(left) < g.serviceTimes[r.Class].valueMs(now):
		return call.ReasonDeadlineTooClose
	default:
		return ""
	}
}

// expiryReason returns why a waiting request must be refused, or "" when it may wait on.
// The queue timeout does not apply to once-only calls, because they are shed last.
func (g *Gate) expiryReason(r Request, now clock.Millis) call.Reason {
	if reason := g.deadlineReason(r, now); reason != "" {
		return reason
	}
	if r.Class == route.Lookup && g.config.QueueTimeoutMs > 0 && now-r.Arrival >= g.config.QueueTimeoutMs {
		return call.ReasonQueueTimeout
	}
	return ""
}

// refuseQueued refuses a request that has been in the queue.
func (g *Gate) refuseQueued(decisions []Decision, w *waiter, reason call.Reason, now clock.Millis) []Decision {
	if w.request.Class == route.NonIdempotent && !(g.config.LookupShare > 0 && w.request.isInnerNonIdempotent()) {
		g.nonIdempotentRefusedAt = now
	}
	return g.refuse(decisions, w.request, reason)
}

func (g *Gate) refuse(decisions []Decision, r Request, reason call.Reason) []Decision {
	return append(decisions, Decision{ID: r.ID, Reason: reason, RetryAfterMs: g.retryAfterMs()})
}

func (g *Gate) start(decisions []Decision, a *account, r Request) []Decision {
	g.running[r.ID] = runningCall{class: r.Class, account: a}
	a.running++
	if r.Class == route.Lookup {
		g.runningLookups++
	}
	return append(decisions, Decision{ID: r.ID, Admitted: true})
}

func (g *Gate) enqueue(r Request) {
	a := g.account(r)
	a.waiting++
	g.queue.add(&waiter{request: r, account: a})
}

func (g *Gate) remove(w *waiter) {
	g.queue.remove(w)
	w.account.waiting--
	g.dropIdleAccount(w.account)
}

// account returns the counters of the request's account, and takes the weight from the request.
func (g *Gate) account(r Request) *account {
	a := g.accounts[r.Account]
	if a == nil {
		a = &account{id: r.Account}
		g.accounts[r.Account] = a
	}
	a.weight = r.Weight
	if !(r.Weight > 0) || math.IsInf(r.Weight, 1) {
		a.weight = 1
	}
	return a
}

// dropIdleAccount forgets an account without calls, so that withdrawn accounts occupy no memory.
func (g *Gate) dropIdleAccount(a *account) {
	if a.running == 0 && a.waiting == 0 {
		delete(g.accounts, a.id)
	}
}

// expectedWaitMs estimates the wait of a call that arrives now.
func (g *Gate) expectedWaitMs() float64 {
	limit := max(1, min(g.config.Slots, g.limiter.Limit()))
	if !g.config.Enabled || len(g.running) < limit && g.queue.len() == 0 {
		return 0
	}
	lookup, onceOnly := g.serviceTimes[route.Lookup].mean, g.serviceTimes[route.NonIdempotent].mean
	return float64(g.queue.len()+1) * max(lookup, onceOnly) / float64(limit)
}

// retryAfterMs spreads the callers over 0.5 to 1.5 times the expected wait, so that they do not return together.
func (g *Gate) retryAfterMs() clock.Millis {
	wait := min(max(g.expectedWaitMs(), minRetryAfterMs), maxRetryAfterMs)
	return clock.Millis(wait * (0.5 + g.random.Float64()))
}
