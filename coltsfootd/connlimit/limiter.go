package connlimit

import (
	"context"
	"expvar"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/memlimit"
	"coltsfootusher.example/coltsfootd/periodic"
	"coltsfootusher.example/core/clock"
)

const (
	// tickInterval is the resolution of the times of connections. Reading the clock for each read and write would cost more.
	tickInterval = 250 * time.Millisecond
	// reportMs is the shortest time between two log lines.
	reportMs clock.Millis = 1000
)

// Reason is the reason for which a connection was closed.
type Reason string

// Reasons for closing a connection.
const (
	// HeaderMemory means that the connection held the most memory for an incomplete header when that of its listener ran out.
	HeaderMemory Reason = "headerMemory"
	// HeaderTooLarge means that the connection sent a header above the limit of one header.
	HeaderTooLarge Reason = "headerTooLarge"
	// ConnectionLimit means that the connection made room for a new one.
	ConnectionLimit Reason = "connectionLimit"
	// ResponseStalled means that the client did not read its response.
	ResponseStalled Reason = "responseStalled"
)

var reasons = []Reason{HeaderMemory, HeaderTooLarge, ConnectionLimit, ResponseStalled}

// Config holds the settings and dependencies of a Limiter.
type Config struct {
	Clock clock.Clock
	// StallMs is the time for which one write to a client may be blocked; 0 means no limit.
	StallMs clock.Millis
	Logger  log.Logger
}

// Limits are the limits of one listener; 0 means no limit.
type Limits struct {
	Connections int
	// HeaderBytes is the memory for incomplete headers and for those of requests whose bodies are incomplete.
	HeaderBytes int64
	// MaxHeader returns the largest permitted header in bytes, as it is in force now; nil means that net/http limits it.
	MaxHeader func() int64
}

// Limiter closes connections of clients that hold too much memory, or that make room for others. It is safe for concurrent use.
type Limiter struct {
	Config
	// now is the time of the last tick.
	now atomic.Int64

	mu        sync.Mutex
	listeners []*Listener
	// budgets are the watched budgets by name.
	budgets map[string]*memlimit.Budget

	reported   map[string]int64
	reportedAt clock.Millis
}

// New returns a limiter without listeners.
func New(c Config) *Limiter {
	l := &Limiter{Config: c, budgets: make(map[string]*memlimit.Budget), reported: make(map[string]int64)}
	l.now.Store(int64(c.Clock.Now()))
	return l
}

// Listen returns a listener whose connections are limited. Its name appears in metrics and log lines.
func (l *Limiter) Listen(name string, inner net.Listener, limits Limits) *Listener {
	listener := &Listener{
		Listener: inner, limiter: l, name: name, limits: limits, memory: memlimit.New(limits.HeaderBytes, exemptWeight),
		space: make(chan struct{}, 1), done: make(chan struct{}), closed: make(map[Reason]*atomic.Int64),
	}
	for _, reason := range reasons {
		listener.closed[reason] = new(atomic.Int64)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.listeners = append(l.listeners, listener)
	return listener
}

// Watch reports what gives way in a budget besides those of the listeners.
func (l *Limiter) Watch(name string, b *memlimit.Budget) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.budgets[name] = b
}

// Run advances the time of the connections, closes those whose clients don't read, and writes at most one log line per second,
// until ctx ends.
func (l *Limiter) Run(ctx context.Context) {
	periodic.Run(ctx, tickInterval, func(context.Context) { l.Tick() })
}

// Tick does what Run does in each interval.
func (l *Limiter) Tick() {
	now := l.Clock.Now()
	l.now.Store(int64(now))
	listeners := l.allListeners()
	if l.StallMs > 0 {
		for _, listener := range listeners {
			listener.closeStalled(now - l.StallMs)
		}
	}
	if now-l.reportedAt >= reportMs {
		l.report(listeners, now)
	}
}

func (l *Limiter) allListeners() []*Listener {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.listeners)
}

// report logs how many connections were closed, and what else gave way, since the last line, if anything did.
func (l *Limiter) report(listeners []*Listener, now clock.Millis) {
	var fields []any
	add := func(key string, n int64) {
		if n > l.reported[key] {
			fields = append(fields, key, n-l.reported[key])
			l.reported[key] = n
		}
	}
	for _, listener := range listeners {
		for _, reason := range reasons {
			add(listener.name+"."+string(reason), listener.closed[reason].Load())
		}
	}
	l.mu.Lock()
	for name, budget := range l.budgets {
		add(name+".memory", budget.Evicted())
	}
	l.mu.Unlock()
	if len(fields) == 0 {
		return
	}
	l.reportedAt = now
	_ = level.Warn(l.Logger).Log(append([]any{"msg", "connections of clients closed"}, fields...)...)
}

// Publish exports the numbers of open and closed connections and the memory of headers by listener.
func (l *Limiter) Publish(metrics *expvar.Map) {
	publish := func(name string, values func(listener *Listener, result map[string]int64)) {
		metrics.Set(name, expvar.Func(func() any {
			result := make(map[string]int64)
			for _, listener := range l.allListeners() {
				values(listener, result)
			}
			return result
		}))
	}
	publish("clientConnections", func(listener *Listener, result map[string]int64) {
		result[listener.name] = int64(listener.count())
	})
	publish("clientHeaderBytes", func(listener *Listener, result map[string]int64) {
		result[listener.name] = listener.memory.Used()
	})
	publish("clientConnectionsClosed", func(listener *Listener, result map[string]int64) {
		for _, reason := range reasons {
			result[listener.name+"."+string(reason)] = listener.closed[reason].Load()
		}
	})
}
