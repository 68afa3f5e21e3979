package directory

import (
	"context"
	"errors"
	"slices"
	"sync/atomic"
	"time"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/published"
)

const (
	// readTimeout allows for a platform that answers many times slower than usual.
	readTimeout = 900 * time.Millisecond
	// readRetryMs is the delay after the first failed call. It doubles with each further failure. Nodes with a rank below
	// topRanks retry sooner, because the whole fleet waits for one of them.
	readRetryMs       clock.Millis = 150
	topRankRetryMaxMs clock.Millis = 600
	lowRankRetryMaxMs clock.Millis = 2400
	topRanks                       = 4
	maxRetryDoublings              = 4
	// noPolicyRetryMs is the delay after a read that found no policy. All nodes of a new fleet wait for the first one.
	noPolicyRetryMs clock.Millis = 600
	// peersFirstMs is the time in which a node that may lack values tries to hear from another node before it reads the platform.
	peersFirstMs clock.Millis = 1000
	// listIntervalMs is how often a node that watches the platform also reads the whole list of targets, in case a watch no
	// longer delivers changes.
	listIntervalMs clock.Millis = 3000
	// watchDeliveryMs is the time in which a watch delivers changes. After that the list is read again if a read of the policy has
	// shown a newer revision, but at most once per minListIntervalMs.
	watchDeliveryMs   clock.Millis = 200
	minListIntervalMs clock.Millis = 1000
	// readerHoldMs is the time after its last policy read during which a node keeps watching the platform although its rank is no
	// longer 0.
	readerHoldMs clock.Millis = 3000
	// A node without a list of targets looks for other nodes: often while it knows none, less often while its own target is not
	// listed, and rarely once it is.
	discoverIntervalMs         clock.Millis = 600
	discoverUnlistedIntervalMs clock.Millis = 2000
	discoverListedIntervalMs   clock.Millis = 6000
)

// errWrongEpoch is the error about an answer whose epoch is over, or can't be the next one.
var errWrongEpoch = errors.New("answer is not from the current epoch of the platform")

// platformCalls counts the platform calls by kind.
type platformCalls struct {
	policies, lists, contacts, watches, entries atomic.Int64
}

func (c *platformCalls) counts() any {
	return map[string]int64{
		"policy": c.policies.Load(), "list": c.lists.Load(), "contacts": c.contacts.Load(), "watch": c.watches.Load(),
		"entry": c.entries.Load(),
	}
}

// discoverNodes looks for other nodes while this node has no list of targets. The list that it reads may be stale: it is used
// only to find nodes to ask, and never becomes the list in force.
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
				d.discoverAfter = done + max(discoverIntervalMs, d.recordPlatformFailure("contacts", now, err))
				return
			}
			if len(d.discovered.All) == 0 {
				d.discoveredAt = done
				d.askPeersFirst(done)
			}
			d.discovered = newNodes(vms, d.FailureDomain)
			d.discoverAfter = done + d.discoveryInterval()
		}
	})
}

// callPlatform runs call in the background. The goroutine that owns the state then runs the function that call returns, which
// processes the result.
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
		p, evacuations, err := d.readPolicy(ctx)
		return func(done clock.Millis) {
			d.applyEvacuationRead(evacuations, now, done)
			d.finishPolicyRead(p, err, now, done)
		}
	})
}

func (d *Directory) finishPolicyRead(p published.Policy, err error, sentAt, now clock.Millis) {
	d.readingPolicy = false
	switch {
	case errors.Is(err, published.ErrNoPolicy):
		d.recordPlatformSuccess(sentAt)
		d.readPolicyAfter = now + noPolicyRetryMs
		// Confirming that there is no policy spares the other nodes from asking the platform.
		d.confirm(0, sentAt, platformSource)
	case errors.Is(err, published.ErrPolicyUnreadable):
		d.recordPlatformSuccess(sentAt)
		d.readPolicyAfter = now + noPolicyRetryMs
		d.reportUnreadablePolicy(err)
	case err != nil:
		d.readPolicyAfter = now + d.recordPlatformFailure("policy", sentAt, err)
	case !d.noteEpoch(p.Epoch, platformSource, now):
		d.readPolicyAfter = now + d.recordPlatformFailure("policy", sentAt, errWrongEpoch)
	case d.asksPeersFirst(d.nodes(), now):
		d.readPolicyAfter = now
	default:
		d.logFirstRead(p)
		d.policyReadAt = now
		d.unreadable.Store(false)
		d.recordPlatformSuccess(sentAt)
		d.platformPosition = history.Position{Epoch: p.Epoch, Revision: p.Revision}
		d.checkListAfter = now + watchDeliveryMs
		d.applyPolicy(p, platformSource)
		d.confirm(p.Version, sentAt, platformSource)
		if d.rank(d.nodes()) > 0 {
			// The next ranks wait for the first one, which has not delivered, and would read the platform as well.
			d.announce(SyncPath, d.ownState(now))
		}
		if p.Version < d.policyVersion() {
			// A restored platform lacks the policy in force until the operators write it again.
			d.readPolicyAfter = now + d.maxRetryDelay()
		}
	}
}

// maxRetryDelay returns the longest delay before a platform call that brought nothing new is made again.
func (d *Directory) maxRetryDelay() clock.Millis {
	if d.rank(d.nodes()) < topRanks {
		return topRankRetryMaxMs
	}
	return lowRankRetryMaxMs
}

func (d *Directory) startTargetsRead(ctx context.Context, now clock.Millis) {
	d.listingTargets, d.listedAt = true, now
	d.calls.lists.Add(1)
	d.callPlatform(ctx, func(ctx context.Context) func(done clock.Millis) {
		delta, entryErrs, err := d.Platform.Targets(ctx)
		return func(done clock.Millis) {
			d.listingTargets = false
			d.listTargetsAfter = now + listIntervalMs
			if err == nil && !d.noteEpoch(delta.Epoch, platformSource, done) {
				err = errWrongEpoch
			}
			if err != nil {
				d.listTargetsAfter = done + d.recordPlatformFailure("targets", now, err)
				return
			}
			d.recordPlatformSuccess(now)
			if d.applyTargets(delta, entryErrs, platformSource, done) {
				d.replaceWatches(done)
			}
		}
	})
}

// listBehind reports whether the platform has had changes for so long that the watch should have delivered them. Such a watch
// shows no error until it ends. The changes may also be of other values than the list, so that reads are limited in number.
func (d *Directory) listBehind(now clock.Millis) bool {
	return d.roster.Position().Before(d.platformPosition) && now >= d.checkListAfter && now >= d.listedAt+minListIntervalMs
}

// recordPlatformFailure counts a failed platform call and returns the delay before the next one.
func (d *Directory) recordPlatformFailure(call string, sentAt clock.Millis, err error) clock.Millis {
	d.roster.MarkPublisherUnreachable(sentAt)
	d.markPlatformUnreachable(call, err)
	delay := min(d.maxRetryDelay(), readRetryMs<<min(d.platformFailures, maxRetryDoublings))
	d.platformFailures++
	return delay
}

// markPlatformUnreachable logs the first failed call since the platform last answered.
func (d *Directory) markPlatformUnreachable(call string, err error) {
	if d.platformUnreachable {
		return
	}
	d.platformUnreachable = true
	_ = level.Warn(d.Logger).Log("msg", "platform does not answer", "read", call, "err", err,
		"confirmationAgeMs", int64(d.Age()))
}

func (d *Directory) recordPlatformSuccess(sentAt clock.Millis) {
	d.platformFailures = 0
	d.roster.MarkPublisherReachable(sentAt)
	if d.platformUnreachable {
		d.platformUnreachable = false
		_ = level.Info(d.Logger).Log("msg", "platform answers again")
	}
}
