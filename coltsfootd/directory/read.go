package directory

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/published"
)

const (
	// readTimeout leaves room for a platform that answers many times slower than usual.
	readTimeout = 900 * time.Millisecond
	// readRetryMs is the pause after the first call that failed; it doubles with each further one. Up to the rank
	// firstRanks nodes try again soon, since the whole fleet waits for one of them.
	readRetryMs      clock.Millis = 150
	firstRetryMaxMs  clock.Millis = 600
	otherRetryMaxMs  clock.Millis = 2400
	firstRanks                    = 4
	maxRetryDoubling              = 4
	// unpublishedRetryMs is the pause after a read that found no policy yet. All nodes of a new fleet wait for the first.
	unpublishedRetryMs clock.Millis = 600
	// relistMs is how often a reader reads the whole list of targets, in case a watch has gone deaf.
	relistMs clock.Millis = 3000
	// readerMs is the time after its last own read for which a node watches the platform although another is to read it.
	readerMs clock.Millis = 3000
	// A node that knows no list looks for other nodes: often while it knows none, seldom while its own target is not
	// listed yet, and hardly ever once it is.
	seekNoneMs     clock.Millis = 600
	seekUnlistedMs clock.Millis = 2000
	seekListedMs   clock.Millis = 6000
)

// platformCalls counts the calls to the platform by kind.
type platformCalls struct {
	policies, lists, contacts, watches atomic.Int64
}

func (c *platformCalls) counts() any {
	return map[string]int64{
		"policy": c.policies.Load(), "list": c.lists.Load(), "contacts": c.contacts.Load(), "watch": c.watches.Load(),
	}
}

// seekContacts looks for other nodes while this node knows no list. The list that it reads may be old: it serves only to
// find nodes to ask, and never becomes the list in force.
func (d *Directory) seekContacts(ctx context.Context, now clock.Millis) {
	if d.view.Load() != nil || d.seeking || now < d.seekAfter {
		return
	}
	d.seeking = true
	d.calls.contacts.Add(1)
	d.callPlatform(ctx, func(ctx context.Context) func(done clock.Millis) {
		vms, err := d.Source.Contacts(ctx)
		return func(done clock.Millis) {
			d.seeking = false
			if err != nil {
				d.seekAfter = done + max(seekNoneMs, d.failed("contacts", err))
				return
			}
			if len(d.contacts.All) == 0 {
				d.contactsAt = done
			}
			d.contacts = nodesOf(vms, d.FailureDomain)
			d.seekAfter = done + d.seekPause()
		}
	})
}

// callPlatform makes a call in the background; the function that call returns takes the result in the goroutine that owns
// the state.
func (d *Directory) callPlatform(ctx context.Context, call func(ctx context.Context) func(done clock.Millis)) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		d.post(call(ctx))
	}()
}

func (d *Directory) seekPause() clock.Millis {
	switch {
	case len(d.contacts.All) == 0:
		return seekNoneMs
	case !slices.Contains(d.contacts.All, d.Address):
		return seekUnlistedMs
	default:
		return seekListedMs
	}
}

func (d *Directory) startRead(ctx context.Context, now clock.Millis) {
	d.reading = true
	d.calls.policies.Add(1)
	d.callPlatform(ctx, func(ctx context.Context) func(done clock.Millis) {
		p, err := d.Source.Policy(ctx)
		return func(done clock.Millis) { d.finishRead(p, err, now, done) }
	})
}

func (d *Directory) finishRead(p published.Policy, err error, sentAt, now clock.Millis) {
	d.reading = false
	switch {
	case errors.Is(err, published.ErrNoPolicy):
		d.platformAnswered(now)
		d.readAfter = now + unpublishedRetryMs
		// The others need not ask the platform whether there is a policy.
		d.confirm(0, sentAt, platformSource)
	case errors.Is(err, published.ErrPolicyUnreadable):
		d.platformAnswered(now)
		d.readAfter = now + unpublishedRetryMs
		d.policyUnreadable(err)
	case err != nil:
		d.readAfter = now + d.failed("policy", err)
	default:
		d.lastRead = now
		d.unreadable.Store(false)
		d.platformAnswered(now)
		d.applyPolicy(p, platformSource)
		d.confirm(p.Version, sentAt, platformSource)
	}
}

func (d *Directory) startRelist(ctx context.Context, now clock.Millis) {
	d.relisting = true
	d.calls.lists.Add(1)
	d.callPlatform(ctx, func(ctx context.Context) func(done clock.Millis) {
		delta, notes, err := d.Source.Targets(ctx)
		return func(done clock.Millis) {
			d.relisting = false
			d.relistAt = now + relistMs
			if err != nil {
				d.relistAt = done + d.failed("targets", err)
				return
			}
			d.platformAnswered(done)
			d.applyTargets(delta, notes, platformSource, done)
		}
	})
}

// failed records a call to the platform that failed, logs the loss of the platform once, and returns the pause before the
// next call.
func (d *Directory) failed(what string, err error) clock.Millis {
	d.platformFailed(what, err)
	most := otherRetryMaxMs
	if d.rank(d.nodes()) < firstRanks {
		most = firstRetryMaxMs
	}
	pause := min(most, readRetryMs<<min(d.failures, maxRetryDoubling))
	d.failures++
	return pause
}

// platformFailed logs the loss of the platform once.
func (d *Directory) platformFailed(what string, err error) {
	d.roster.MarkPublisherUnreachable()
	if d.platformLost {
		return
	}
	d.platformLost = true
	_ = level.Warn(d.Logger).Log("msg", "platform does not answer", "read", what, "err", err,
		"confirmationAgeMs", int64(d.Age()))
}

func (d *Directory) platformAnswered(now clock.Millis) {
	d.failures = 0
	d.roster.MarkPublisherReachable(now)
	if d.platformLost {
		d.platformLost = false
		_ = level.Info(d.Logger).Log("msg", "platform answers again")
	}
}
