package directory

import (
	"context"
	"errors"
	"time"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/published"
)

const (
	// watchWaitMs is the time that the platform may hold a watch.
	watchWaitMs clock.Millis = 15_000
	watchGrace               = 2 * time.Second
	// watchRetry is the pause after the first watch that failed, watchRetryMax the longest one.
	watchRetry    = 250 * time.Millisecond
	watchRetryMax = time.Second
	// watchPause gathers changes that come in quick succession into one call.
	watchPause = 100 * time.Millisecond
)

// watch starts or stops the watches at the platform.
func (d *Directory) watch(ctx context.Context, wanted bool) {
	if wanted == (d.stopWatch != nil) {
		return
	}
	if !wanted {
		d.stopWatch()
		d.stopWatch = nil
		return
	}
	ctx, d.stopWatch = context.WithCancel(ctx)
	revision := d.roster.Revision()
	go d.watchTargets(ctx, revision)
	go d.watchPolicy(ctx, revision)
}

// watchTargets follows the list of targets until ctx ends. After a failure the whole list is read again, because the
// platform may have dropped its history.
func (d *Directory) watchTargets(ctx context.Context, after int64) {
	retry := watchRetry
	for ctx.Err() == nil {
		d.calls.watches.Add(1)
		call, cancel := context.WithTimeout(ctx, watchWaitMs.Duration()+watchGrace)
		delta, notes, err := d.Source.WatchTargets(call, after, watchWaitMs)
		cancel()
		if err != nil {
			d.post(func(now clock.Millis) { d.relistAt = min(d.relistAt, now) })
			pause(ctx, retry)
			retry = min(2*retry, watchRetryMax)
			after = d.knownRevision(ctx, after)
			continue
		}
		retry = watchRetry
		after = max(after, delta.Revision)
		d.post(func(now clock.Millis) { d.applyTargets(delta, notes, "platform", now) })
		pause(ctx, watchPause)
	}
}

// watchPolicy follows the policy until ctx ends. It confirms nothing, since a watch that hears nothing may be deaf.
func (d *Directory) watchPolicy(ctx context.Context, after int64) {
	retry := watchRetry
	for ctx.Err() == nil {
		d.calls.watches.Add(1)
		call, cancel := context.WithTimeout(ctx, watchWaitMs.Duration()+watchGrace)
		p, revision, err := d.Source.WatchPolicy(call, after, watchWaitMs)
		cancel()
		if errors.Is(err, published.ErrPolicyUnreadable) {
			d.post(func(clock.Millis) { d.policyUnreadable(err) })
		} else if err != nil {
			pause(ctx, retry)
			retry = min(2*retry, watchRetryMax)
			after = d.knownRevision(ctx, after)
			continue
		}
		retry = watchRetry
		after = max(after, revision)
		if p != nil {
			d.post(func(clock.Millis) { d.applyPolicy(*p, "platform") })
		}
		pause(ctx, watchPause)
	}
}

// knownRevision returns the revision of the list, which is read again after a watch has failed.
func (d *Directory) knownRevision(ctx context.Context, fallback int64) int64 {
	revision := make(chan int64, 1)
	d.post(func(clock.Millis) { revision <- d.roster.Revision() })
	select {
	case r := <-revision:
		return max(r, fallback)
	case <-ctx.Done():
		return fallback
	}
}

func pause(ctx context.Context, length time.Duration) {
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}
