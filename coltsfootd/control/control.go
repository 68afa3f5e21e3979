package control

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/platform"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/fleet"
	"coltsfootusher.example/core/vm"
)

// retryPause is the time between two reads after one failed.
const retryPause = 200 * time.Millisecond

// Loop watches the published values and publishes snapshots to the traffic goroutines.
type Loop struct {
	platform *platform.Client
	wait     clock.Millis
	logger   log.Logger

	current atomic.Pointer[fleet.Snapshot]
	ready   chan struct{}
	once    sync.Once
	mu      sync.Mutex
}

// New returns a loop that reads client; a watch waits for wait.
func New(client *platform.Client, wait clock.Millis, logger log.Logger) *Loop {
	l := &Loop{platform: client, wait: wait, logger: logger, ready: make(chan struct{})}
	l.current.Store(&fleet.Snapshot{})
	return l
}

// Current returns the values in force.
func (l *Loop) Current() *fleet.Snapshot {
	return l.current.Load()
}

// Wait returns when every section was read, or with the context's error.
func (l *Loop) Wait(ctx context.Context) error {
	select {
	case <-l.ready:
		return nil
	default:
	}
	select {
	case <-l.ready:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// MayServe reports whether the node of v gets new work.
func (l *Loop) MayServe(v vm.VM) bool {
	return v.State == vm.Live
}

// Run watches all sections until ctx ends.
func (l *Loop) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, name := range fleet.Names() {
		group.Go(func() { l.watch(ctx, name) })
	}
	group.Wait()
}

func (l *Loop) watch(ctx context.Context, name fleet.Name) {
	for ctx.Err() == nil {
		v, changed, err := l.platform.Watch(ctx, name, l.Current().Versions[name], l.wait)
		if err != nil {
			_ = level.Warn(l.logger).Log("msg", "platform read failed", "section", name, "err", err)
			pause(ctx, retryPause)
			continue
		}
		if changed {
			l.apply(ctx, v)
		}
	}
}

func (l *Loop) apply(ctx context.Context, v platform.Value) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if v.Version <= l.Current().Versions[v.Name] {
		return
	}
	next, err := l.Current().With(v.Name, v.Version, v.Value)
	if err != nil {
		_ = level.Error(l.logger).Log("msg", "published value rejected, the last valid one stays in force",
			"section", v.Name, "version", v.Version, "err", err)
		pause(ctx, retryPause)
		return
	}
	l.current.Store(next)
	_ = level.Info(l.logger).Log("msg", "published value in force", "section", v.Name, "version", v.Version)
	if next.Complete() {
		l.once.Do(func() { close(l.ready) })
	}
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
