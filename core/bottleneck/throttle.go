package bottleneck

import (
	"math"
	"slices"
	"sync"

	"coltsfootusher.example/core/clock"
)

const (
	// targetUtilization is the utilization of a short service at which the admitted share stays as it is. The rest of the slots
	// absorbs bursts, so that requests of higher rank find one.
	targetUtilization = 0.85
	// cutPerStep is the change of the cut for each stepMs and each unit of utilization above or below the target. A larger change
	// makes the share oscillate, because its effect shows only after the latency of a call chain.
	cutPerStep              = 0.1
	stepMs     clock.Millis = 100
	// toleratedFailures is the fraction of the more important requests that may fail for lack of capacity before lookups are cut.
	// Above the target utilization the share stays as it is while fewer fail.
	toleratedFailures = 0.02
	// maxExcess limits how far above the target the utilization counts, so that a long queue does not end in no admission at all.
	maxExcess = 1.0
	// minShare is the share of the lookups of each rank that is always admitted.
	minShare = 0.2
	// shortHalfLifeMs is the half-life of the counts by which a kind of requests counts as dependent on a service. While the
	// throttle works, few requests fail, so that the counts must outlast the shortage.
	shortHalfLifeMs = 30_000
	// dependentAfter is the number of requests of a kind that must have failed for lack of capacity of a service, and
	// dependentShare the fraction of its requests while the service was short. Single requests fail for other reasons at the
	// moment at which another request lacks capacity. A dependent kind stays one until the count has decayed to
	// independentBelow: while the throttle works, its requests succeed.
	dependentAfter   = 2
	dependentShare   = 0.05
	independentBelow = 0.5
	// maxKinds bounds the memory. Further kinds of requests are not throttled.
	maxKinds = 4096
)

// Request is a request of a caller.
type Request struct {
	Route string
	// Rank is the priority of the request; 0 is the highest.
	Rank int
	// Idempotent requests may be throttled.
	Idempotent bool
}

// requestKind identifies the requests that are counted together. One route has requests of several ranks, as accounts have ranks
// of their own.
type requestKind struct {
	route string
	rank  int
}

// Outcome is what the reply to a request says.
type Outcome struct {
	// Report names the most utilized service of the request's chain.
	Report Report
	// Short is true if the request failed because a service of its chain had no capacity.
	Short bool
}

// kindCounts holds what is known about one kind of requests.
type kindCounts struct {
	rank       int
	idempotent bool
	// service is the one at which its requests have failed for lack of capacity. finished counts the requests that ended
	// while it was above the target utilization, short those of them that failed for that reason. Both decay.
	service         string
	finished, short float64
	updated         clock.Millis
	dependent       bool
}

// service holds the utilization of a service and how far lookups that depend on it are cut.
type service struct {
	utilization average
	// failures is the fraction of the non-idempotent requests that fail because the service is short.
	failures average
	// cut is the sum over the ranks, lowest first, of the share of lookups that is not admitted.
	cut       float64
	steppedAt clock.Millis
	// competitors are the requests that depend on the service, as of the last step.
	competitors competitors
}

// competitors tells which requests depend on a service.
type competitors struct {
	// ranks are those of the lookups, lowest first.
	ranks []int
	// highestRank is the highest rank of all requests, nonIdempotent is true if there are non-idempotent ones.
	highestRank   int
	nonIdempotent bool
}

// includeMoreImportant reports whether there are more important requests than lookups of the rank.
func (c competitors) includeMoreImportant(rank int) bool {
	return c.nonIdempotent || c.highestRank < rank
}

// Throttle limits the lookups that an origin admits while a service that they and more important requests depend on is short of
// capacity. It is safe for concurrent use.
//
// It trusts the utilization that gates report with each reply. That signal is misleading if targets reject requests although
// their gates have free slots; such rejections don't count as a shortage.
type Throttle struct {
	mu       sync.Mutex
	kinds    map[requestKind]*kindCounts
	services map[string]*service
	changes  []Change
}

// NewThrottle returns a throttle that admits every request at first.
func NewThrottle() *Throttle {
	return &Throttle{kinds: make(map[requestKind]*kindCounts), services: make(map[string]*service)}
}

// Share returns the share of such requests that may be admitted now.
func (t *Throttle) Share(r Request, now clock.Millis) float64 {
	if !r.Idempotent {
		return 1
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known := t.kinds[requestKind{r.Route, r.Rank}]
	if known == nil || !known.dependent {
		return 1
	}
	s := t.services[known.service]
	if s == nil {
		return 1
	}
	if now-s.steppedAt >= stepMs {
		s.competitors = t.competitorsFor(known.service)
		t.step(known.service, s, now)
	}
	index := slices.Index(s.competitors.ranks, r.Rank)
	if index < 0 || !s.competitors.includeMoreImportant(r.Rank) {
		return 1
	}
	return s.share(index)
}

// Observe records the outcome of a request that was admitted.
func (t *Throttle) Observe(r Request, o Outcome, now clock.Millis) {
	if !o.Report.Known() {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if s := t.service(o.Report.Service, now); s != nil {
		s.observe(r, o, now)
	}
	if known := t.counts(r, now); known != nil {
		known.observe(r, o, now)
	}
}

// Change tells that the throttle has begun or ceased to limit lookups because of a service.
type Change struct {
	Service     string
	Limited     bool
	Utilization float64
	AtMs        clock.Millis
}

// TakeChanges returns the changes since the last call.
func (t *Throttle) TakeChanges() []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.changes
	t.changes = nil
	return taken
}

// step adapts the cut of a service and records a change.
func (t *Throttle) step(name string, s *service, now clock.Millis) {
	before := s.cut > 0
	s.step(now)
	if limited := s.cut > 0; limited != before && len(t.changes) < maxServices {
		t.changes = append(t.changes, Change{Service: name, Limited: limited, Utilization: s.utilization.value(), AtMs: now})
	}
}

// Shares returns the admitted share of the lowest rank for each service that is short of capacity.
func (t *Throttle) Shares() map[string]float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	shares := make(map[string]float64)
	for name, s := range t.services {
		if s.cut > 0 {
			shares[name] = s.share(0)
		}
	}
	return shares
}

// competitorsFor returns the requests that depend on the service.
func (t *Throttle) competitorsFor(name string) competitors {
	c := competitors{highestRank: math.MaxInt}
	for _, r := range t.kinds {
		if r.service != name || !r.dependent {
			continue
		}
		c.highestRank = min(c.highestRank, r.rank)
		if !r.idempotent {
			c.nonIdempotent = true
		} else if !slices.Contains(c.ranks, r.rank) {
			c.ranks = append(c.ranks, r.rank)
		}
	}
	slices.Sort(c.ranks)
	slices.Reverse(c.ranks)
	return c
}

func (t *Throttle) service(name string, now clock.Millis) *service {
	s := t.services[name]
	if s == nil && len(t.services) < maxServices {
		s = &service{
			utilization: average{halfLifeMs: utilizationHalfLifeMs, updated: now},
			failures:    average{halfLifeMs: failuresHalfLifeMs, updated: now}, steppedAt: now,
		}
		t.services[name] = s
	}
	return s
}

func (t *Throttle) counts(r Request, now clock.Millis) *kindCounts {
	kind := requestKind{r.Route, r.Rank}
	known := t.kinds[kind]
	if known == nil && len(t.kinds) < maxKinds {
		known = &kindCounts{rank: r.Rank, updated: now}
		t.kinds[kind] = known
	}
	return known
}

// observe records the utilization of the service and whether a request that is not throttled has failed for it.
func (s *service) observe(r Request, o Outcome, now clock.Millis) {
	s.utilization.add(o.Report.Utilization, now)
	switch {
	case r.Idempotent:
	case o.Short:
		s.failures.add(1, now)
	default:
		s.failures.add(0, now)
	}
}

// observe counts an outcome. A kind counts for one service at a time, the one at which its requests have failed.
func (r *kindCounts) observe(request Request, o Outcome, now clock.Millis) {
	r.idempotent = request.Idempotent
	r.decay(now)
	if o.Short && r.service != o.Report.Service {
		if r.dependent {
			return
		}
		r.service, r.finished, r.short = o.Report.Service, 0, 0
	}
	if r.service != o.Report.Service || o.Report.Utilization < targetUtilization && !o.Short {
		return
	}
	r.finished++
	if o.Short {
		r.short++
	}
	r.dependent = r.dependent || r.short >= dependentAfter && r.short >= dependentShare*r.finished
}

func (r *kindCounts) decay(now clock.Millis) {
	elapsed := float64(now - r.updated)
	if elapsed <= 0 {
		return
	}
	factor := math.Exp2(-elapsed / shortHalfLifeMs)
	r.finished *= factor
	r.short *= factor
	r.updated = now
	r.dependent = r.dependent && r.short >= independentBelow
}

// step adapts the cut to the utilization, for the time since the last step. Without recent samples the cut shrinks, so that some
// requests find out whether there is capacity again.
func (s *service) step(now clock.Millis) {
	elapsed := min(now-s.steppedAt, staleAfterMs)
	s.steppedAt = now
	excess := -targetUtilization
	if now-s.utilization.updated <= staleAfterMs {
		excess = min(maxExcess, s.utilization.value()-targetUtilization)
	}
	if s.competitors.nonIdempotent && excess > 0 && s.failures.value() < toleratedFailures {
		excess = 0
	}
	change := cutPerStep * excess * float64(elapsed) / float64(stepMs)
	s.cut = min(float64(len(s.competitors.ranks)), max(0, s.cut+change))
}

// share returns the admitted share of the lookups whose rank is the given one, counted from the lowest.
func (s *service) share(index int) float64 {
	return max(minShare, 1-min(1, max(0, s.cut-float64(index))))
}
