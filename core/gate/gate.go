package gate

import (
	"math"
	"math/rand/v2"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
	"coltsfootusher.example/core/workcost"
)

const (
	// defaultNewestFirstAfterMs is the time for which the queue must have been non-empty before the newest calls are started
	// first. Oldest-first order clears shorter bursts without missed deadlines.
	defaultNewestFirstAfterMs clock.Millis = 50
	// coldStartShare is the fraction of the slots that a target gets at the moment it starts.
	coldStartShare = 0.1
	// minRetryAfterMs and maxRetryAfterMs bound the retry delay that is returned with a refusal, before jitter.
	minRetryAfterMs = 100
	maxRetryAfterMs = 10_000
)

// Request is a call that asks for admission to the target. IDs must be unique among the running and waiting calls.
type Request struct {
	ID      uint64
	Account string
	// Weight is the account's share relative to other accounts; values that are not positive and finite count as 1.
	Weight  float64
	Class   route.Class
	Depth   int
	Arrival clock.Millis
	// Deadline is the time after which the caller no longer needs the response.
	Deadline clock.Millis
	// Target is the id of the target that the call is for. Targets can follow each other at one address.
	Target string
	// Sender identifies the process that has sent the call and passes its response on; 0 if it is not known.
	Sender uint64
	// Route is the name of the route, and BodyBytes the size of the body; the expected cost depends on them.
	Route     string
	BodyBytes int
}

// Decision is the final result for a request: it starts now, or it is refused and was not run.
type Decision struct {
	ID       uint64
	Admitted bool
	// Reason is set when the request is not admitted.
	Reason call.Reason
	// RetryAfterMs is the advised delay before a retry; it is set when the request is not admitted and a retry can succeed.
	RetryAfterMs clock.Millis
	// Waited is true if the request was in the queue.
	Waited bool
	// RateEpoch is the epoch of the rate limit under which the request was started.
	RateEpoch uint64
}

// Config holds the policy parameters of a gate.
type Config struct {
	// Slots is the published number of calls that the target runs at a time.
	Slots int
	// QueueLimit is the number of calls that may wait.
	QueueLimit int
	// QueueTimeoutMs bounds the wait of a lookup; 0 means that only the deadline bounds it.
	QueueTimeoutMs clock.Millis
	// ColdStartMs is the time in which the limit of a newly started target grows to its full value; 0 means at once.
	ColdStartMs clock.Millis
	// LookupShare is the fraction of the slots that root lookups get ahead of inner non-idempotent calls, which otherwise go first.
	LookupShare float64
	// Enabled is false when every call is admitted at once.
	Enabled bool
}

// Sample is the measured result of one call to the target.
type Sample struct {
	// LatencyMs is the latency of the target, without the time in the queue.
	LatencyMs float64
	Failed    bool
	// Cancelled is true when the call ended before the target responded, so that its latency is only a lower bound.
	Cancelled bool
	// Answered is true if the target answered the call.
	Answered bool
	// SlownessPercent is how long work takes at the target according to its answer, in percent of the usual time; 0 if it did
	// not say.
	SlownessPercent int
}

// Limiter derives the concurrency limit from the target's behaviour.
type Limiter interface {
	// Limit returns the concurrency limit, at least 1.
	Limit() int
	// Observe records the sample of a finished call; running includes the call itself.
	Observe(sample Sample, running int, now clock.Millis)
}

// resizer is implemented by limiters that depend on the published number of slots.
type resizer interface {
	Resize(slots int)
}

type runningCall struct {
	class   route.Class
	account *account
	started clock.Millis
	key     workcost.Key
	// cost is the expected slot time; it is zero while estimates by route are off.
	cost workcost.Estimate
}

// Gate is the admission control for one target: a concurrency limit with a bounded queue.
type Gate struct {
	config  Config
	limiter Limiter
	random  *rand.Rand

	accounts       map[string]*account
	running        map[uint64]runningCall
	runningLookups int
	queue          *queue
	// rate is nil while the rate of calls is not limited.
	rate         *rateLimit
	rateEpoch    uint64
	serviceTimes map[route.Class]*serviceTimeEstimate
	// estimator is nil if the gate has no estimates by route.
	estimator Estimator

	leaving         bool
	targetStartedAt clock.Millis
	// queueNonEmptySince is the time at which the queue last became non-empty.
	queueNonEmptySince clock.Millis
	newestFirstAfterMs clock.Millis
	// nonIdempotentRefusedAt is the last time at which a waiting non-idempotent call was refused.
	// No lookup starts in the same millisecond, so that none takes the place of the refused call.
	nonIdempotentRefusedAt clock.Millis
}

// New returns a gate for a target that is warmed up. For a target that has just started, call TargetStarted too.
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

// Configure changes the policy parameters. Running and waiting calls are kept.
func (g *Gate) Configure(config Config, now clock.Millis) []Decision {
	config.Slots = max(1, config.Slots)
	config.QueueLimit = max(0, config.QueueLimit)
	g.config = config
	if r, ok := g.limiter.(resizer); ok {
		r.Resize(config.Slots)
	}
	return g.dispatch(now, nil)
}

// SetLeaving sets whether new calls are refused because the target or its node is shutting down.
// Waiting calls stay in the queue and are decided as usual, since a graceful shutdown must not interrupt requests.
func (g *Gate) SetLeaving(leaving bool, now clock.Millis) []Decision {
	g.leaving = leaving
	return g.dispatch(now, nil)
}

// TargetStarted begins the slow start of a target and resets the service times measured before its restart.
func (g *Gate) TargetStarted(now clock.Millis) {
	g.targetStartedAt = now
	for _, e := range g.serviceTimes {
		*e = serviceTimeEstimate{}
	}
	if g.estimator != nil {
		g.estimator.TargetStarted()
	}
}

// Offer submits a request. The decisions can include other requests, for example one that is evicted from the queue.
// A request without a decision waits; its decision is returned by a later call of a method.
func (g *Gate) Offer(r Request, now clock.Millis) []Decision {
	if g.leaving {
		return g.refuse(nil, r, call.ReasonLeaving, now)
	}
	if !g.config.Enabled {
		return g.start(nil, g.account(r), r, now)
	}
	if reason := g.deadlineReason(r, now); reason != "" {
		return g.refuse(nil, r, reason, now)
	}
	if g.queue.len() == 0 {
		g.queueNonEmptySince = now
	}
	g.enqueue(r, now)
	return g.evictOverLimit(g.dispatch(now, nil), now)
}

// Done reports that an admitted call has finished. A call that is not running is ignored.
func (g *Gate) Done(id uint64, s Sample, now clock.Millis) []Decision {
	finished, ok := g.running[id]
	if !ok {
		return nil
	}
	g.limiter.Observe(s, len(g.running), now)
	g.serviceTimes[finished.class].observe(s, now)
	g.observeCost(finished, s, now)
	delete(g.running, id)
	finished.account.running--
	g.dropIdleAccount(finished.account)
	if finished.class == route.Lookup {
		g.runningLookups--
	}
	return g.dispatch(now, nil)
}

// Cancel removes a waiting call whose caller has disconnected. A call that is not waiting is ignored.
func (g *Gate) Cancel(id uint64, now clock.Millis) []Decision {
	w := g.queue.waiters[id]
	if w == nil {
		return nil
	}
	g.remove(w)
	return g.dispatch(now, []Decision{{ID: id, Reason: call.ReasonCallerGone}})
}

// Tick starts waiting calls for which a higher limit has made room, and then refuses waiting calls that have timed out.
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

// Load returns the current load, which is reported to callers.
func (g *Gate) Load(now clock.Millis) call.Load {
	limit := g.config.Slots
	if g.config.Enabled {
		limit = min(limit, g.limiter.Limit())
	}
	return g.addCosts(call.Load{
		Running: len(g.running),
		Waiting: g.queue.len(),
		Limit:   limit,
		WaitMs:  clock.Millis(g.expectedWaitMs(now)),
		Leaving: g.leaving,
	}, now)
}

// Idle reports whether no call is running or waiting.
func (g *Gate) Idle() bool {
	return len(g.running) == 0 && g.queue.len() == 0
}

// dispatch starts waiting calls in rank order while slots are free, and appends the decisions.
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
		decisions = g.start(decisions, g.account(w.request), w.request, now)
	}
}

// next returns the waiting call to start next, or nil. Inner non-idempotent calls go before lookups, because work is lost if they
// fail. They alone could use up the target, so lookups get LookupShare of the slots first.
func (g *Gate) next(now clock.Millis) *waiter {
	newestFirst := g.useNewestFirst(now)
	w := g.queue.peek(newestFirst)
	if w == nil || !w.request.isInnerNonIdempotent() || !g.lookupsBelowShare(now) {
		return w
	}
	if lookup := g.queue.peekLookup(newestFirst); lookup != nil && g.hasRoom(route.Lookup, now) {
		return lookup
	}
	return w
}

// lookupsBelowShare reports whether lookups have started less than their share of the slots, or of the starts while the rate is
// limited.
func (g *Gate) lookupsBelowShare(now clock.Millis) bool {
	if g.rate != nil {
		return g.rate.lookupCredit >= 1
	}
	return float64(g.runningLookups) < g.config.LookupShare*float64(g.slowStartSlots(now))
}

// isInnerNonIdempotent reports whether the request is an inner call that has the rank of a non-idempotent operation.
func (r Request) isInnerNonIdempotent() bool {
	return r.Class == route.NonIdempotent && r.Depth > 0
}

// hasRoom reports whether a call of the class may start. The limiter applies to lookups only, since its signal can be wrong
// and non-idempotent calls are refused last. The published slots and the slow start limit both classes.
func (g *Gate) hasRoom(class route.Class, now clock.Millis) bool {
	if !g.config.Enabled {
		return true
	}
	if !g.rate.allows(class, now) {
		return false
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

// slowStartSlots returns the number of slots that the target may use at its current age.
func (g *Gate) slowStartSlots(now clock.Millis) int {
	ageMs := now - g.targetStartedAt
	if ageMs >= g.config.ColdStartMs {
		return g.config.Slots
	}
	share := coldStartShare + (1-coldStartShare)*float64(ageMs)/float64(g.config.ColdStartMs)
	return max(1, int(share*float64(g.config.Slots)))
}

// useNewestFirst reports whether the queue has been non-empty for so long that the newest calls are started first.
func (g *Gate) useNewestFirst(now clock.Millis) bool {
	return g.queue.len() > 0 && now-g.queueNonEmptySince >= g.newestFirstAfterMs
}

// queueOverLimit reports whether a waiting call must be evicted. Non-idempotent calls may exceed the queue limit
// as long as there is a running lookup for each of them whose slot it can take over.
func (g *Gate) queueOverLimit(now clock.Millis) bool {
	if g.rate != nil && g.rateQueueOverLimit(now) {
		return true
	}
	if g.queue.lookups > 0 {
		return g.queue.len() > g.config.QueueLimit
	}
	return g.queue.len() > max(g.config.QueueLimit, g.runningLookups)
}

// evictOverLimit refuses waiting calls until the queue is within its limit.
func (g *Gate) evictOverLimit(decisions []Decision, now clock.Millis) []Decision {
	for g.queueOverLimit(now) {
		decisions = g.evict(decisions, now)
	}
	return decisions
}

// evict refuses the lowest-ranked waiting call of the account that exceeds its fair share the most. Lookups are evicted before
// non-idempotent calls, except that inner non-idempotent calls are evicted before lookups within their share of the queue.
func (g *Gate) evict(decisions []Decision, now clock.Millis) []Decision {
	class := route.NonIdempotent
	if g.queue.lookups > 0 {
		class = route.Lookup
	}
	w := g.queue.evictionCandidate(class, g.useNewestFirst(now))
	if class == route.Lookup && float64(g.queue.lookups) <= g.config.LookupShare*g.queueLimit() {
		if inner := g.queue.innerEvictionCandidate(); inner != nil {
			w = inner
		}
	}
	g.remove(w)
	reason := call.ReasonOverloaded
	if g.rate != nil {
		reason = call.ReasonTargetLimited
	}
	return g.refuseQueued(decisions, w, reason, now)
}

// queueLimit returns the number of calls that may wait. While the rate is limited, those are fewer.
func (g *Gate) queueLimit() float64 {
	if g.rate != nil {
		return min(float64(g.config.QueueLimit), g.rate.queueLimit())
	}
	return float64(g.config.QueueLimit)
}

// deadlineReason returns the reason to refuse a request that cannot finish before its deadline, or "" when it can.
func (g *Gate) deadlineReason(r Request, now clock.Millis) call.Reason {
	remaining := r.Deadline - now
	switch {
	case remaining <= 0:
		return call.ReasonDeadlineExceeded
	case float64(remaining) < g.minSlotTimeMs(r, now):
		return call.ReasonDeadlineTooClose
	default:
		return ""
	}
}

// minSlotTimeMs returns the time to its deadline below which a request is refused, or 0 if it is not known.
func (g *Gate) minSlotTimeMs(r Request, now clock.Millis) float64 {
	if g.usesCosts() {
		return g.estimator.RefusalMs(r.costKey(), now)
	}
	return g.serviceTimes[r.Class].valueMs(now)
}

// expiryReason returns the reason to refuse a waiting request that has timed out, or "" when it may keep waiting.
// The queue timeout does not apply to non-idempotent calls, because they are refused last.
func (g *Gate) expiryReason(r Request, now clock.Millis) call.Reason {
	if reason := g.deadlineReason(r, now); reason != "" {
		return reason
	}
	if g.rate != nil && now-r.Arrival >= rateWaitLimit(r.Class) {
		return call.ReasonTargetLimited
	}
	if r.Class == route.Lookup && g.config.QueueTimeoutMs > 0 && now-r.Arrival >= g.config.QueueTimeoutMs {
		return call.ReasonQueueTimeout
	}
	return ""
}

// refuseQueued refuses a request that was removed from the queue.
func (g *Gate) refuseQueued(decisions []Decision, w *waiter, reason call.Reason, now clock.Millis) []Decision {
	if w.request.Class == route.NonIdempotent && !(g.config.LookupShare > 0 && w.request.isInnerNonIdempotent()) {
		g.nonIdempotentRefusedAt = now
	}
	return g.refuse(decisions, w.request, reason, now)
}

func (g *Gate) refuse(decisions []Decision, r Request, reason call.Reason, now clock.Millis) []Decision {
	return append(decisions, Decision{ID: r.ID, Reason: reason, RetryAfterMs: g.retryAfterMs(now)})
}

func (g *Gate) start(decisions []Decision, a *account, r Request, now clock.Millis) []Decision {
	g.rate.chargeStart(r, g.config.LookupShare, now)
	g.running[r.ID] = runningCall{class: r.Class, account: a, started: now, key: r.costKey(), cost: g.expectedCost(r, now)}
	a.running++
	if r.Class == route.Lookup {
		g.runningLookups++
	}
	return append(decisions, Decision{ID: r.ID, Admitted: true, RateEpoch: g.rateEpoch})
}

func (g *Gate) enqueue(r Request, now clock.Millis) {
	a := g.account(r)
	a.waiting++
	g.queue.add(&waiter{request: r, account: a, costMs: g.expectedCost(r, now).MeanMs})
}

func (g *Gate) remove(w *waiter) {
	g.queue.remove(w)
	w.account.waiting--
	g.dropIdleAccount(w.account)
}

// expectedWaitMs estimates the time in the queue for a call that arrives now.
func (g *Gate) expectedWaitMs(now clock.Millis) float64 {
	if g.rate == nil {
		return g.expectedSlotWaitMs(now)
	}
	return max(g.expectedSlotWaitMs(now), float64(g.rate.waitMs(g.queue.len()+1, now)))
}

// expectedSlotWaitMs estimates the time until a slot is free for a call that arrives now.
func (g *Gate) expectedSlotWaitMs(now clock.Millis) float64 {
	limit := max(1, min(g.config.Slots, g.limiter.Limit()))
	if !g.config.Enabled || len(g.running) < limit && g.queue.len() == 0 {
		return 0
	}
	if g.usesCosts() {
		return g.expectedCostWaitMs(limit, now)
	}
	lookupMs, nonIdempotentMs := g.serviceTimes[route.Lookup].mean, g.serviceTimes[route.NonIdempotent].mean
	return float64(g.queue.len()+1) * max(lookupMs, nonIdempotentMs) / float64(limit)
}

// retryAfterMs returns the expected wait with jitter of 0.5 to 1.5 times, so that refused callers do not retry together.
func (g *Gate) retryAfterMs(now clock.Millis) clock.Millis {
	waitMs := min(max(g.expectedWaitMs(now), minRetryAfterMs), maxRetryAfterMs)
	return clock.Millis(waitMs * (0.5 + g.random.Float64()))
}
