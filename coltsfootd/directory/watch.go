package directory

import (
	"context"
	"errors"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/published"
)

const (
	// watchWaitMs is the time for which the platform may hold a watch request open.
	watchWaitMs        clock.Millis = 15_000
	watchTimeoutMargin              = 2 * time.Second
	// watchRetryDelay is the delay after the first failed watch. It doubles with each further failure, up to watchRetryMaxDelay.
	watchRetryDelay    = 250 * time.Millisecond
	watchRetryMaxDelay = time.Second
	// watchBatchDelay lets changes in quick succession arrive in one call.
	watchBatchDelay = 100 * time.Millisecond
)

// updateWatches starts or stops watching the platform. After a restore of the platform the watches begin again once the new list
// is known, because a watch continues only within an epoch.
func (d *Directory) updateWatches(ctx context.Context, wanted bool) {
	position := d.roster.Position()
	wanted = wanted && position.Epoch == d.epoch
	if d.stopWatches != nil && (!wanted || d.watchedEpoch != d.epoch) {
		d.stopWatches()
		d.stopWatches = nil
	}
	if !wanted || d.stopWatches != nil {
		return
	}
	ctx, d.stopWatches = context.WithCancel(ctx)
	d.watchedEpoch, d.watchesStartedAt = position.Epoch, d.Clock.Now()
	go d.watchTargets(ctx, position)
	if d.evacuations == nil {
		go d.watchPolicy(ctx, position)
		return
	}
	if known := d.evacuations.set.Known(); known.Epoch == position.Epoch && known.Revision > 0 {
		position = known
	}
	go d.watchPolicyAndEvacuations(ctx, position)
}

// replaceWatches ends watches that have not delivered a change which a read of the list has shown. They begin again with the next
// tick.
func (d *Directory) replaceWatches(now clock.Millis) {
	if d.stopWatches == nil || now < d.watchesStartedAt+minListIntervalMs {
		return
	}
	_ = level.Warn(d.Logger).Log("msg", "watch has not delivered a change of the list, starting a new one")
	d.stopWatches()
	d.stopWatches = nil
}

// watchTargets follows the list of targets until ctx ends. After a failure the whole list is read again, because the platform may
// have discarded the changes since the last revision.
func (d *Directory) watchTargets(ctx context.Context, after history.Position) {
	retry := watchRetryDelay
	for ctx.Err() == nil {
		d.calls.watches.Add(1)
		call, cancel := context.WithTimeout(ctx, watchWaitMs.Duration()+watchTimeoutMargin)
		delta, entryErrs, err := d.Platform.WatchTargets(call, after, watchWaitMs)
		cancel()
		if err != nil {
			d.enqueue(func(now clock.Millis) { d.listTargetsAfter = min(d.listTargetsAfter, now) })
			sleep(ctx, retry)
			retry = min(2*retry, watchRetryMaxDelay)
			after = d.targetPosition(ctx, after)
			continue
		}
		retry = watchRetryDelay
		after = history.Latest(after, delta.Position())
		d.enqueue(func(now clock.Millis) { d.applyTargets(delta, entryErrs, platformSource, now) })
		sleep(ctx, watchBatchDelay)
	}
}

// watchPolicy follows the policy until ctx ends. It confirms nothing, because a watch that reports no change may no longer
// deliver changes.
func (d *Directory) watchPolicy(ctx context.Context, after history.Position) {
	retry := watchRetryDelay
	for ctx.Err() == nil {
		d.calls.watches.Add(1)
		call, cancel := context.WithTimeout(ctx, watchWaitMs.Duration()+watchTimeoutMargin)
		p, next, err := d.Platform.WatchPolicy(call, after, watchWaitMs)
		cancel()
		if errors.Is(err, published.ErrPolicyUnreadable) {
			d.enqueue(func(clock.Millis) { d.reportUnreadablePolicy(err) })
		} else if err != nil {
			sleep(ctx, retry)
			retry = min(2*retry, watchRetryMaxDelay)
			after = d.targetPosition(ctx, after)
			continue
		}
		retry = watchRetryDelay
		after = history.Latest(after, next)
		if p != nil {
			d.enqueue(func(clock.Millis) { d.applyPolicy(*p, platformSource) })
		}
		sleep(ctx, watchBatchDelay)
	}
}

// targetPosition returns the position of the list, which is read again after a failed watch, or fallback if that is later.
func (d *Directory) targetPosition(ctx context.Context, fallback history.Position) history.Position {
	position := make(chan history.Position, 1)
	d.enqueue(func(clock.Millis) { position <- d.roster.Position() })
	select {
	case p := <-position:
		return history.Latest(p, fallback)
	case <-ctx.Done():
		return fallback
	}
}

func sleep(ctx context.Context, duration time.Duration) {
	select {
	case <-time.After(duration):
	case <-ctx.Done():
	}
}
