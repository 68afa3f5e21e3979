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
	readRetryMs       clock.Millis = 150
	topRankRetryMaxMs clock.Millis = 600
	lowRankRetryMaxMs clock.Millis = 2400
	topRanks                       = 4
	maxRetryDoublings              = 4
	// noPolicyRetryMs is the pause after a read that found no policy yet. All nodes of a new fleet wait for the first.
	noPolicyRetryMs clock.Millis = 600
	// listIntervalMs is how often a reader reads the whole list of targets, in case a watch has gone deaf.
	listIntervalMs clock.Millis = 3000
	// readerHoldMs is the time after its last own read for which a node watches the platform although another is to read it.
	readerHoldMs clock.Millis = 3000
	// A node that knows no list looks for other nodes: often while it knows none, seldom while its own target is not
	// listed yet, and hardly ever once it is.
	discoverIntervalMs         clock.Millis = 600
	discoverUnlistedIntervalMs clock.Millis = 2000
	discoverListedIntervalMs   clock.Millis = 6000
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

// discoverNodes looks for other nodes while this node knows no list. The list that it reads may be old: it serves only to
// find nodes to ask, and never becomes the list in force.
func (d *Directory) discoverNodes(ctx context.Context, now clock.Millis) {
	if d.view.Load() != nil || d.discovering || now < d.discoverAfter {
		return
	}
	d.discovering = true
	d.calls.contacts.Add(1)
	d.callPlatform(ctx, func(ctx context.Context) func(done clock.Millis) {
		vms, err := d.Platform.Contacts(ctx)
		return func(done clock.Millis) {
			d.discovering = false
			if err != nil {
				d.discoverAfter = done + max(discoverIntervalMs, d.recordPlatformFailure("contacts", err))
				return
			}
			if len(d.discovered.All) == 0 {
				d.discoveredAt = done
			}
			d.discovered = newNodes(vms, d.FailureDomain)
			d.discoverAfter = done + d.discoveryInterval()
		}
	})
}

// callPlatform makes a call in the background; the function that call returns takes the result in the goroutine that owns
// the state.
func (d *Directory) callPlatform(ctx context.Context, call func(ctx context.Context) func(done clock.Millis)) {
	go func() {
		ctx, cancel := context.WithTimeout(ctx, readTimeout)
		defer cancel()
		d.enqueue(call(ctx))
	}()
}

func (d *Directory) discoveryInterval() clock.Millis {
	switch {
	case len(d.discovered.All) == 0:
		return discoverIntervalMs
	case !slices.Contains(d.discovered.All, d.Address):
		return discoverUnlistedIntervalMs
	default:
		return discoverListedIntervalMs
	}
}

func (d *Directory) startPolicyRead(ctx context.Context, now clock.Millis) {
	d.readingPolicy = true
	d.calls.policies.Add(1)
	d.callPlatform(ctx, func(ctx context.Context) func(done clock.Millis) {
		p, err := d.Platform.Policy(ctx)
		return func(done clock.Millis) { d.finishPolicyRead(p, err, now, done) }
	})
}

func (d *Directory) finishPolicyRead(p published.Policy, err error, sentAt, now clock.Millis) {
	d.readingPolicy = false
	switch {
	case errors.Is(err, published.ErrNoPolicy):
		d.recordPlatformSuccess(now)
		d.readPolicyAfter = now + noPolicyRetryMs
		// The others need not ask the platform whether there is a policy.
		d.confirm(0, sentAt, platformSource)
	case errors.Is(err, published.ErrPolicyUnreadable):
		d.recordPlatformSuccess(now)
		d.readPolicyAfter = now + noPolicyRetryMs
		d.reportUnreadablePolicy(err)
	case err != nil:
		d.readPolicyAfter = now + d.recordPlatformFailure("policy", err)
	default:
		d.policyReadAt = now
		d.unreadable.Store(false)
		d.recordPlatformSuccess(now)
		d.applyPolicy(p, platformSource)
		d.confirm(p.Version, sentAt, platformSource)
	}
}

func (d *Directory) startTargetList(ctx context.Context, now clock.Millis) {
	d.listingTargets = true
	d.calls.lists.Add(1)
	d.callPlatform(ctx, func(ctx context.Context) func(done clock.Millis) {
		delta, notes, err := d.Platform.Targets(ctx)
		return func(done clock.Millis) {
			d.listingTargets = false
			d.listTargetsAfter = now + listIntervalMs
			if err != nil {
				d.listTargetsAfter = done + d.recordPlatformFailure("targets", err)
				return
			}
			d.recordPlatformSuccess(done)
			d.applyTargets(delta, notes, platformSource, done)
		}
	})
}

// recordPlatformFailure records a call to the platform that recordPlatformFailure, logs the loss of the platform once, and returns the pause before the
// next call.
func (d *Directory) recordPlatformFailure(what string, err error) clock.Millis {
	d.markPlatformUnreachable(what, err)
	most := lowRankRetryMaxMs
	if d.rank(d.nodes()) < topRanks {
		most = topRankRetryMaxMs
	}
	pause := min(most, readRetryMs<<min(d.platformFailures, maxRetryDoublings))
	d.platformFailures++
	return pause
}

// markPlatformUnreachable logs the loss of the platform once.
func (d *Directory) markPlatformUnreachable(what string, err error) {
	d.roster.MarkPublisherUnreachable()
	if d.platformUnreachable {
		return
	}
	d.platformUnreachable = true
	_ = level.Warn(d.Logger).Log("msg", "platform does not answer", "read", what, "err", err,
		"confirmationAgeMs", int64(d.Age()))
}

func (d *Directory) recordPlatformSuccess(now clock.Millis) {
	d.platformFailures = 0
	d.roster.MarkPublisherReachable(now)
	if d.platformUnreachable {
		d.platformUnreachable = false
		_ = level.Info(d.Logger).Log("msg", "platform answers again")
	}
}
