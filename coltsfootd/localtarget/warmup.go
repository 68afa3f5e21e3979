package localtarget

import (
	"context"
	"errors"
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/coltsfootd/upstream"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/gate"
	"coltsfootusher.example/core/service"
	"coltsfootusher.example/core/targetstatus"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/core/warmup"
)

const (
	// healthCheckTimeout bounds a health check that is sent because the target's state is in doubt.
	healthCheckTimeout = time.Second
	// silentAfter is the time without bytes from the target after which its state is not certain. Until then, connections are open
	// whose end shows a crash: they are kept for 6 s.
	silentAfter = 5 * time.Second
	// provisionalWarmupMs is the warm-up time until the published one is known.
	provisionalWarmupMs clock.Millis = 600_000
	// warmupLinesPerSecond limits the log lines about a target that turns cold and warm.
	warmupLinesPerSecond = 2
	// everyEpoch is the epoch of requests that are never withdrawn.
	everyEpoch = math.MaxUint64
)

// rateLimits holds the limits on the rate of requests to the target. The gate gets the lower one.
type rateLimits struct {
	mu     sync.Mutex
	stated targetstatus.Status
	// allowance is what the target may get while it is cold or just warm; it counts if limited is true.
	allowance float64
	limited   bool
}

// effective returns the limit in force, and false if there is none.
func (l *rateLimits) effective() (float64, bool) {
	switch {
	case l.limited && l.stated.Limited:
		return min(l.allowance, l.stated.LimitPerSecond), true
	case l.limited:
		return l.allowance, true
	default:
		return l.stated.LimitPerSecond, l.stated.Limited
	}
}

// applyLimits changes the limits, puts them into force at the gate and returns the epoch of the gate's limit.
func (r *Runner) applyLimits(change func(l *rateLimits)) uint64 {
	r.limits.mu.Lock()
	defer r.limits.mu.Unlock()
	change(&r.limits)
	var epoch uint64
	r.Admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		perSecond, limited := r.limits.effective()
		var decisions []gate.Decision
		if limited {
			decisions = g.SetRateLimit(perSecond, now)
		} else {
			decisions = g.RemoveRateLimit(now)
		}
		epoch = g.RateEpoch()
		return decisions
	})
	return epoch
}

// warmupMonitor holds the warm-up of the local target.
type warmupMonitor struct {
	logger log.Logger
	// on is false if the service publishes no allowance; then nothing is observed on the path of a request.
	on atomic.Bool
	// viewed is true once a view was applied.
	viewed atomic.Bool
	// checks counts the health checks, withdrawn the requests that were not sent because the target turned cold.
	checks, withdrawn expvar.Int

	mu          sync.Mutex
	tracker     *warmup.Tracker
	connections connectionWatch
	logged      warmup.State
	lines       logging.Throttle
	allowance   float64
	limited     bool
}

func newWarmupMonitor(logger log.Logger, now clock.Millis) *warmupMonitor {
	return &warmupMonitor{logger: logger, tracker: warmup.New(now), lines: logging.NewThrottle(warmupLinesPerSecond)}
}

func (m *warmupMonitor) publish(metrics *expvar.Map, now func() clock.Millis) {
	metrics.Set("targetWarmup", expvar.Func(func() any { return m.state(now()) }))
	metrics.Set("targetHealthChecks", &m.checks)
	metrics.Set("targetRequestsWithdrawn", &m.withdrawn)
}

func (m *warmupMonitor) state(now clock.Millis) warmup.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.State(now)
}

// leftMs returns the time for which the target stays cold; 0 if it is warm or the part is off.
func (m *warmupMonitor) leftMs(now clock.Millis) clock.Millis {
	if !m.on.Load() {
		return 0
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.LeftMs(now)
}

// changeWarmup applies an event to the tracker and puts the allowance that results into force. When the target turns cold,
// requests that the gate has admitted but that have not been sent yet are withdrawn. A health check is sent if one is needed.
func (r *Runner) changeWarmup(event func(t *warmup.Tracker, now clock.Millis)) {
	m, now := r.warmup, r.Clock.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	wasCold := m.tracker.State(now).Cold
	event(m.tracker, now)
	perSecond, limited := m.tracker.Limit(now)
	m.on.Store(m.tracker.On())
	if perSecond != m.allowance || limited != m.limited {
		m.allowance, m.limited = perSecond, limited
		epoch := r.applyLimits(func(l *rateLimits) { l.allowance, l.limited = perSecond, limited })
		if !wasCold && m.tracker.State(now).Cold {
			r.Pool.Withdraw(epoch)
		}
	}
	m.log(now)
	if m.tracker.CheckDue(now) {
		go r.checkTarget(now)
	}
}

// log writes a line if the target has turned cold or warm. A target that was idle is not worth one.
func (m *warmupMonitor) log(now clock.Millis) {
	s := m.tracker.State(now)
	if s.Reason == warmup.ReasonIdle || s.Cold == m.logged.Cold && s.Ramping == m.logged.Ramping && s.Reason == m.logged.Reason {
		return
	}
	m.logged = s
	if m.lines.Allow(now) {
		_ = level.Info(m.logger).Log("msg", "warm-up of the target changed", "cold", s.Cold, "ramping", s.Ramping, "assumed", s.Assumed,
			"reason", s.Reason, "leftMs", int64(s.LeftMs))
	}
}

// checkTarget asks the target for its state, on a new connection because idle ones may be those to a crashed target.
func (r *Runner) checkTarget(sentAt clock.Millis) {
	ctx, cancel := context.WithTimeout(context.Background(), healthCheckTimeout)
	defer cancel()
	r.warmup.checks.Add(1)
	answer, err := r.Health.check(ctx, true)
	if err != nil {
		_ = level.Debug(r.Logger).Log("msg", "health check failed", "err", err)
		if isRefused(err) {
			r.changeWarmup((*warmup.Tracker).Refused)
		}
		return
	}
	if answer.ColdErr != nil {
		_ = level.Warn(r.Logger).Log("msg", "warm-up time of the target can't be read", "err", answer.ColdErr)
	}
	r.changeWarmup(func(t *warmup.Tracker, now clock.Millis) {
		t.Checked(warmup.Check{
			SentAt: sentAt, Target: answer.Target, Healthy: answer.Healthy && answer.ColdErr == nil, ColdMs: answer.ColdMs,
		}, now)
	})
}

// ApplyView takes the published service of the local target and its entry in the target list, which is empty if there is none.
func (r *Runner) ApplyView(s service.Service, own vm.VM) {
	defer r.warmup.viewed.Store(true)
	if !r.warmup.on.Load() && s.ColdPerSecond <= 0 {
		return
	}
	r.changeWarmup(func(t *warmup.Tracker, now clock.Millis) {
		t.Publish(s, now)
		if own.Name != "" {
			t.Listed(own, now)
		}
	})
}

// AdvanceWarmup moves the warm-up on with the time. It must be called several times per second.
func (r *Runner) AdvanceWarmup() {
	r.warmup.mu.Lock()
	idle := !r.warmup.on.Load() && !r.warmup.limited
	r.warmup.mu.Unlock()
	if !idle {
		r.changeWarmup((*warmup.Tracker).Advance)
	}
}

// Warmup returns the state of the target.
func (r *Runner) Warmup() warmup.State {
	return r.warmup.state(r.Clock.Now())
}

// adoptAllowance puts an allowance into force before the first view is applied. A node that has no view yet takes the one that
// the sender knows.
func (r *Runner) adoptAllowance(c dispatch.Context) {
	published := service.Service{ColdPerSecond: c.ColdPerSecond, WarmupMs: provisionalWarmupMs}
	if v := r.Views.View(); v != nil {
		published, _ = v.Service(c.Service)
	}
	if published.ColdPerSecond > 0 {
		r.changeWarmup(func(t *warmup.Tracker, now clock.Millis) { t.Publish(published, now) })
	}
}

// beforeAdmission notes what makes the state of the target uncertain: the node has just started, or the target was silent, so
// that a restart can't have been noticed.
func (r *Runner) beforeAdmission(c dispatch.Context) {
	if !r.warmup.on.Load() {
		if !r.warmup.viewed.Load() {
			r.adoptAllowance(c)
		}
		return
	}
	if time.Since(r.Pool.LastReadAt()) < silentAfter {
		return
	}
	r.warmup.mu.Lock()
	running := r.warmup.connections.any()
	r.warmup.mu.Unlock()
	if running {
		return
	}
	began := false
	r.changeWarmup(func(t *warmup.Tracker, now clock.Millis) { began = t.Idle(now) })
	r.limits.mu.Lock()
	stated := r.limits.stated.Limited
	r.limits.mu.Unlock()
	if began && !stated {
		r.Admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision { return g.GrantStarts(warmup.IdleStarts, now) })
	}
}

// limitRefused notes that a request was refused because of the limit.
func (r *Runner) limitRefused() {
	r.status.countRefused()
	if r.warmup.on.Load() {
		r.changeWarmup(func(t *warmup.Tracker, _ clock.Millis) { t.Pressed() })
	}
}

// idleConnectionsLost notes that the target has closed all idle connections.
func (r *Runner) idleConnectionsLost() {
	if r.warmup.on.Load() {
		r.changeWarmup((*warmup.Tracker).Lost)
	}
}

// doWatched sends a request to the target and observes what its end tells about the connections.
func (r *Runner) doWatched(ctx context.Context, request *upstream.Request) (*upstream.Response, error) {
	if !r.warmup.on.Load() {
		return r.Pool.Do(ctx, request)
	}
	sentAt := r.Clock.Now()
	r.warmup.mu.Lock()
	generation := r.warmup.connections.begin()
	r.warmup.mu.Unlock()
	response, err := r.Pool.Do(ctx, request)
	var failure *upstream.RequestError
	lost := errors.As(err, &failure) && failure.Sent && ctx.Err() == nil
	r.warmup.mu.Lock()
	allLost := r.warmup.connections.end(generation, err == nil && response.Reused, lost)
	if err == nil {
		r.warmup.tracker.Answered(sentAt, r.Clock.Now())
	}
	r.warmup.mu.Unlock()
	switch {
	case errors.Is(err, upstream.ErrWithdrawn):
		r.warmup.withdrawn.Add(1)
	case isRefused(err):
		r.Pool.CloseIdle()
		r.changeWarmup((*warmup.Tracker).Refused)
	case allLost:
		r.Pool.CloseIdle()
		r.changeWarmup((*warmup.Tracker).Lost)
	}
	return response, err
}

// targetReplaced notes that another target answers at the address. The request did not count for it.
func (r *Runner) targetReplaced(target string, epoch uint64) {
	if !r.warmup.on.Load() {
		return
	}
	r.Admission.Update(func(g *gate.Gate, now clock.Millis) []gate.Decision {
		// A request that was started under another limit was not counted towards this one.
		if g.RateEpoch() == epoch {
			g.RefundRate(now)
		}
		return g.Tick(now)
	})
	r.changeWarmup(func(t *warmup.Tracker, now clock.Millis) { t.Replaced(target, now) })
}

// isRefused reports whether no connection can be opened because the target does not listen.
func isRefused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) || errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH)
}
