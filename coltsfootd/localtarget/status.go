package localtarget

import (
	"expvar"
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/targetstatus"
)

const (
	// requestLogIntervalMs is the time between two log lines about the requests to a target that names a limit.
	requestLogIntervalMs clock.Millis = 1000
	// changeLinesPerSecond limits the log lines about a status that changes all the time, unreadableLinesPerSecond those about
	// statuses that can't be read.
	changeLinesPerSecond     = 3
	unreadableLinesPerSecond = 1
)

// statusMonitor holds the status of the local target and logs what the target states and what it gets.
type statusMonitor struct {
	logger log.Logger
	// limitChanged applies the limit that the target names. It is called with the lock held, so that changes are applied in order.
	limitChanged func(s targetstatus.Status)
	// requests counts the requests sent to the target, unreadable the statuses that could not be read.
	requests, unreadable expvar.Int

	mu      sync.Mutex
	tracker targetstatus.Tracker
	// sent and refused are the numbers of requests sent to the target, and refused for its limit, since countedSince.
	sent, refused int
	countedSince  clock.Millis
	// changeLines and unreadableLines limit the log lines.
	changeLines, unreadableLines logging.Throttle
}

func newStatusMonitor(logger log.Logger, limitChanged func(s targetstatus.Status), now clock.Millis) *statusMonitor {
	return &statusMonitor{
		logger: logger, limitChanged: limitChanged, countedSince: now,
		changeLines: logging.NewThrottle(changeLinesPerSecond), unreadableLines: logging.NewThrottle(unreadableLinesPerSecond),
	}
}

// publish exports the counters and the status of the target as metrics.
func (m *statusMonitor) publish(metrics *expvar.Map, target func() targetstatus.Lifetime) {
	metrics.Set("targetRequests", &m.requests)
	metrics.Set("targetStatusUnreadable", &m.unreadable)
	metrics.Set("targetStatus", expvar.Func(func() any { return m.status(target()) }))
}

func (m *statusMonitor) status(l targetstatus.Lifetime) targetstatus.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Status(l)
}

// observe applies what an answer of the target states.
func (m *statusMonitor) observe(l targetstatus.Lifetime, r targetstatus.Report, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := r.Err(); err != nil {
		m.unreadable.Add(1)
		if m.unreadableLines.Allow(now) {
			_ = level.Warn(m.logger).Log("msg", "status of the target can't be read, the previous one stays", "target", l.Target,
				"err", err)
		}
	}
	if s, changed := m.tracker.Observe(l, r); changed {
		m.apply(l.Target, s, "target", now)
	}
}

// adopt takes what another node has learned of the target.
func (m *statusMonitor) adopt(l targetstatus.Lifetime, s targetstatus.Status, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracker.Adopt(l, s) {
		m.apply(l.Target, m.tracker.Status(l), "peer", now)
	}
}

// forget drops the status of a target that no longer serves at the address.
func (m *statusMonitor) forget(target string, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	previous := m.tracker.Status(targetstatus.Lifetime{Target: target})
	if m.tracker.Forget(target) && previous != (targetstatus.Status{}) {
		m.apply(target, targetstatus.Status{}, "another target answers", now)
	}
}

// apply puts a changed status into force.
func (m *statusMonitor) apply(target string, s targetstatus.Status, source string, now clock.Millis) {
	if m.changeLines.Allow(now) {
		_ = level.Info(m.logger).Log("msg", "status of the target changed", "target", target, "limited", s.Limited,
			"limitPerSecond", s.LimitPerSecond, "leaving", s.Leaving, "source", source)
	}
	m.limitChanged(s)
}

// countSent counts a request that is sent to the target. While the target names a limit, a line a second tells how many it got.
func (m *statusMonitor) countSent(l targetstatus.Lifetime, now clock.Millis) {
	m.requests.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.tracker.Status(l)
	if elapsed := now - m.countedSince; elapsed >= requestLogIntervalMs {
		if s.Limited && m.sent > 0 {
			_ = level.Info(m.logger).Log("msg", "requests sent to a target with a limit", "target", l.Target, "sent", m.sent,
				"refused", m.refused, "periodMs", int64(elapsed), "limitPerSecond", s.LimitPerSecond)
		}
		m.sent, m.refused, m.countedSince = 0, 0, now
	}
	m.sent++
}

// countRefused counts a request that was refused because of the target's limit.
func (m *statusMonitor) countRefused() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.refused++
}
