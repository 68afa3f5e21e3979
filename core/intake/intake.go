package intake

import (
	"math"
	"math/rand/v2"
	"sync"

	"coltsfootusher.example/core/clock"
)

const (
	// halfLifeMs is the half-life of the call counts.
	halfLifeMs = 500
	// cautiousFactor is the number of calls forwarded per accepted call while a fifth of them or more are refused downstream,
	// probingFactor the number while none is. The latter is higher because a refusal by the first service costs little and
	// the admitted share must grow soon after a shortage.
	cautiousFactor = 1.2
	probingFactor  = 2.0
	// cautiousAboveShare is the fraction of calls refused downstream from which on cautiousFactor applies.
	cautiousAboveShare = 0.2
	// toleratedRefusals is the number of refusals among the counted calls that are treated as chance.
	toleratedRefusals = 1
	// minAdmittedShare keeps some calls flowing, which detect when there is capacity again.
	minAdmittedShare = 0.05
	// delayedRetryFactor is how much more likely a delayed retry is admitted than a first attempt.
	delayedRetryFactor = 4
	// minRetryDelayMs is the part of its timeout that a caller must have used up for its call to count as a delayed retry.
	// Callers that retry at once have used less.
	minRetryDelayMs clock.Millis = 150
	// timeoutDecayPerCall is the fraction by which the longest timeout of a route's callers decays with each call.
	timeoutDecayPerCall = 0.001
	// maxRoutes limits the memory. Calls of further routes are always admitted.
	maxRoutes = 4096
	// maxIdleCalls is the decayed call count below which a route is idle.
	maxIdleCalls = 0.01
)

// Call is a lookup that asks for admission.
type Call struct {
	Route string
	// TimeoutMs is the remaining time that the caller will wait; 0 if unknown.
	TimeoutMs clock.Millis
	// MaxShare limits the share of such calls that is admitted; 0 means no limit.
	MaxShare float64
}

// Outcome tells whether a forwarded call found capacity.
type Outcome int

// The outcomes of a call.
const (
	// Accepted means that the services had capacity for the call, whatever its result.
	Accepted Outcome = iota
	// Refused means that the first service had no capacity, so that no work was done.
	Refused
	// RefusedDownstream means that a downstream service had no capacity, so that the work done before was lost.
	RefusedDownstream
)

// Controller admits a share of the calls of each route, somewhat more than were accepted recently. Calls are thus refused
// before they use the services upstream of the one that lacks capacity. It is safe for concurrent use.
//
// It relies on the outcomes of this node's own calls, which are known only after their latency. With few calls it adapts slowly.
type Controller struct {
	mu     sync.Mutex
	random *rand.Rand
	routes map[string]*routeCounts
}

// routeCounts holds the call counts of a route, which decay with time.
type routeCounts struct {
	// offered counts the calls that finished or were not admitted, finished those that finished, accepted those that found
	// capacity, and refusedDownstream those that were refused by a downstream service.
	offered, finished, accepted, refusedDownstream float64
	// arrived counts the calls that asked for admission, delayedRetries those of them that were delayed retries.
	arrived, delayedRetries float64
	updated                 clock.Millis
	// longestTimeoutMs is approximately the longest timeout that callers of the route set.
	longestTimeoutMs float64
}

// New returns a controller that initially admits every call.
func New(random *rand.Rand) *Controller {
	return &Controller{random: random, routes: make(map[string]*routeCounts)}
}

// Admit reports whether the call may be forwarded.
func (c *Controller) Admit(call Call, now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routeCounts(call.Route, now)
	if r == nil {
		return true
	}
	if share := r.admitShare(r.isDelayedRetry(call), call.maxShare()); share < 1 && c.random.Float64() >= share {
		r.offered++
		return false
	}
	return true
}

// Done records the outcome of a forwarded call of the route.
func (c *Controller) Done(route string, outcome Outcome, now clock.Millis) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.routes[route]
	if r == nil {
		return
	}
	r.decay(now)
	r.offered++
	r.finished++
	switch outcome {
	case Accepted:
		r.accepted++
	case RefusedDownstream:
		r.refusedDownstream++
	case Refused:
	}
}

// AdmittedShare returns the share of the route's calls that is admitted.
func (c *Controller) AdmittedShare(route string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.routes[route]; r != nil {
		return r.admittedShare()
	}
	return 1
}

// dropIdleRoutes deletes the counts of routes without recent calls.
func (c *Controller) dropIdleRoutes(now clock.Millis) {
	for name, r := range c.routes {
		if r.decay(now); r.arrived < maxIdleCalls {
			delete(c.routes, name)
		}
	}
}

// routeCounts returns the counts of the route, decayed to now, or nil when there are too many routes.
func (c *Controller) routeCounts(name string, now clock.Millis) *routeCounts {
	r := c.routes[name]
	if r == nil && len(c.routes) >= maxRoutes {
		c.dropIdleRoutes(now)
	}
	if r == nil && len(c.routes) < maxRoutes {
		r = &routeCounts{updated: now}
		c.routes[name] = r
	}
	if r != nil {
		r.decay(now)
	}
	return r
}

// isDelayedRetry reports whether the caller has clearly less time left than callers of the route have at first, as it does
// when it retries after the advised delay.
func (r *routeCounts) isDelayedRetry(call Call) bool {
	if call.TimeoutMs <= 0 {
		return false
	}
	r.longestTimeoutMs = max(r.longestTimeoutMs*(1-timeoutDecayPerCall), float64(call.TimeoutMs))
	return float64(call.TimeoutMs+minRetryDelayMs) <= r.longestTimeoutMs
}

// maxShare returns the limit on the admitted share.
func (c Call) maxShare() float64 {
	if c.MaxShare <= 0 {
		return 1
	}
	return c.MaxShare
}

// admitShare counts a call and returns the share to admit of delayed retries or of other calls. The mean over both kinds is the
// admitted share of all calls, which is at most maxShare.
func (r *routeCounts) admitShare(delayed bool, maxShare float64) float64 {
	r.arrived++
	if delayed {
		r.delayedRetries++
	}
	share, delayedShare := min(maxShare, r.admittedShare()), r.delayedRetries/r.arrived
	preferred := min(1, delayedRetryFactor*share/(1+delayedShare*(delayedRetryFactor-1)))
	if delayed || delayedShare >= 1 {
		return preferred
	}
	return max(0, share-delayedShare*preferred) / (1 - delayedShare)
}

// admittedShare returns the share of all calls to admit.
func (r *routeCounts) admittedShare() float64 {
	if r.offered <= 0 || r.finished <= 0 {
		return 1
	}
	caution := min(1, r.refusedDownstream/r.finished/cautiousAboveShare)
	factor := probingFactor + caution*(cautiousFactor-probingFactor)
	return min(1, max(minAdmittedShare, (factor*r.accepted+toleratedRefusals)/r.offered))
}

// decay reduces the counts for the time since the last update.
func (r *routeCounts) decay(now clock.Millis) {
	elapsedMs := float64(now - r.updated)
	if elapsedMs <= 0 {
		return
	}
	factor := math.Exp2(-elapsedMs / halfLifeMs)
	r.offered *= factor
	r.finished *= factor
	r.accepted *= factor
	r.refusedDownstream *= factor
	r.arrived *= factor
	r.delayedRetries *= factor
	r.updated = now
}
