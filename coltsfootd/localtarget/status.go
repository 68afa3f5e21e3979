package localtarget

import (
	"expvar"
	"sync"
	"time"

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
	// leavingCheckIntervalMs is the shortest time between two health checks of a target that has said that it leaves. No other
	// request shows whether it still does.
	leavingCheckIntervalMs clock.Millis = 1000
	leavingCheckTimeout                 = 400 * time.Millisecond
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
	// checking is true while a health check finds out whether the target still leaves; the next one follows after checkAfter.
	checking   bool
	checkAfter clock.Millis
}

func newStatusMonitor(logger log.Logger, limitChanged func(s targetstatus.Status), now clock.Millis) *statusMonitor {
	return &statusMonitor{
		logger: logger, limitChanged: limitChanged, countedSince: now,
		changeLines: logging.NewThrottle(changeLinesPerSecond), unreadableLines: logging.NewThrottle(unreadableLinesPerSecond),
	}
}

// publish exports the counters and the status of the target as metrics.
func (m *statusMonitor) publish(metrics *expvar.Map, target func() string) {
	metrics.Set("targetRequests", &m.requests)
	metrics.Set("targetStatusUnreadable", &m.unreadable)
	metrics.Set("targetStatus", expvar.Func(func() any { return m.status(target()) }))
}

func (m *statusMonitor) status(target string) targetstatus.Status {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.tracker.Status(target)
}

// observe applies what an answer of the target states. The source is the kind of request that it answered.
func (m *statusMonitor) observe(target string, r targetstatus.Report, source string, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := r.Err(); err != nil {
		m.unreadable.Add(1)
		if m.unreadableLines.Allow(now) {
			_ = level.Warn(m.logger).Log("msg", "status of the target can't be read, the previous one stays", "target", target,
				"err", err)
		}
	}
	if s, changed := m.tracker.Observe(target, r); changed {
		m.apply(target, s, source, now)
	}
}

// adopt takes what another node has learned of the target, if this node has no answer of the target yet.
func (m *statusMonitor) adopt(target string, s targetstatus.Status, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.tracker.Adopt(target, s) {
		m.apply(target, s, "peer", now)
	}
}

// forget drops the status of a target that no longer serves at the address.
func (m *statusMonitor) forget(target string, now clock.Millis) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if previous := m.tracker.Status(target); m.tracker.Forget(target) && previous != (targetstatus.Status{}) {
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

// startCheck reports whether a health check must find out now whether the leaving target still leaves. finishCheck must follow.
func (m *statusMonitor) startCheck(now clock.Millis) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.checking || now < m.checkAfter {
		return false
	}
	m.checking, m.checkAfter = true, now+leavingCheckIntervalMs
	return true
}

func (m *statusMonitor) finishCheck() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.checking = false
}

// countSent counts a request that is sent to the target. While the target names a limit, a line a second tells how many it got.
func (m *statusMonitor) countSent(target string, now clock.Millis) {
	m.requests.Add(1)
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.tracker.Status(target)
	if elapsed := now - m.countedSince; elapsed >= requestLogIntervalMs {
		if s.Limited && m.sent > 0 {
			_ = level.Info(m.logger).Log("msg", "requests sent to a target with a limit", "target", target, "sent", m.sent,
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
