package directory

import (
	"context"
	"errors"
	"expvar"
	"slices"
	"sync/atomic"

	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/evacuation"
	"coltsfootusher.example/core/history"
	"coltsfootusher.example/core/published"
	"coltsfootusher.example/core/vm"
)

const (
	// evacuationWaitMs is the time for which a node that has started waits for the evacuations before it serves without them. Nodes
	// of an earlier version don't know them, and the platform may be away.
	evacuationWaitMs clock.Millis = 3000
	// evacuationLinesPerSecond limits the log lines about evacuations that change all the time.
	evacuationLinesPerSecond = 20
	// isolationGraceMs is the time, beyond that in which evacuations take effect, for which a node that reaches nobody uses its own
	// target. Operators allow it to machines that can't reach the platform.
	isolationGraceMs clock.Millis = 5000
	// minOthersForIsolation is the number of other listed nodes from which on a node that reaches none of them counts as cut off.
	// With fewer, all others may have ended.
	minOthersForIsolation = 3
	// unknownAgeMs stands for the age of evacuations that were never confirmed.
	unknownAgeMs clock.Millis = -1
)

// EvacuationPlatform reads the evacuated failure domains in the calls that otherwise read the policy alone.
type EvacuationPlatform interface {
	// PolicyAndEvacuations takes the place of Platform.Policy. The evacuations are valid with published.ErrNoPolicy and
	// published.ErrPolicyUnreadable, too.
	PolicyAndEvacuations(ctx context.Context) (published.Policy, evacuation.Snapshot, error)
	// WatchPolicyAndEvacuations takes the place of Platform.WatchPolicy. The changes and the position from which to continue are
	// valid with published.ErrPolicyUnreadable, too.
	WatchPolicyAndEvacuations(
		ctx context.Context, after history.Position, wait clock.Millis,
	) (*published.Policy, evacuation.Changes, history.Position, error)
}

// evacuations is the state of the evacuated domains. The goroutine in Run owns all fields except the atomic one.
type evacuations struct {
	set evacuation.Set
	// confirmedAt is the time at which the platform had nothing newer than the set; clock.Never if it isn't known.
	confirmedAt atomic.Int64
	// neededAt is the time at which a view lacked only the evacuations; 0 before that.
	neededAt clock.Millis
	lines    logging.Throttle
	// isolated is true while the node may have missed the evacuation of its own domain.
	isolated bool
	// allEvacuated is true while no failure domain with targets may be used.
	allEvacuated bool
}

func newEvacuations() *evacuations {
	e := &evacuations{lines: logging.NewThrottle(evacuationLinesPerSecond)}
	e.confirmedAt.Store(int64(clock.Never))
	return e
}

// age returns the time since the set was confirmed, or clock.Never.
func (e *evacuations) age(now clock.Millis) clock.Millis {
	if at := clock.Millis(e.confirmedAt.Load()); at != clock.Never {
		return max(0, now-at)
	}
	return clock.Never
}

func (e *evacuations) confirm(at clock.Millis) {
	if known := clock.Millis(e.confirmedAt.Load()); known == clock.Never || at > known {
		e.confirmedAt.Store(int64(at))
	}
}

// message returns the set as it is sent to other nodes, or nil if it isn't known.
func (e *evacuations) message(now clock.Millis) *evacuation.Snapshot {
	if e == nil {
		return nil
	}
	m := e.set.Snapshot(now)
	if m.Known == (history.Position{}) && len(m.Entries) == 0 {
		return nil
	}
	if m.AgeMs = e.age(now); m.AgeMs == clock.Never {
		m.AgeMs = unknownAgeMs
	}
	return &m
}

// readPolicy reads the policy and, if the directory follows the evacuations, those as well with the same call.
func (d *Directory) readPolicy(ctx context.Context) (published.Policy, evacuation.Snapshot, error) {
	if d.Evacuations == nil {
		p, err := d.Platform.Policy(ctx)
		return p, evacuation.Snapshot{}, err
	}
	return d.Evacuations.PolicyAndEvacuations(ctx)
}

// applyEvacuationRead takes over a read of the platform that was sent at sentAt. An empty one stands for a failed read.
func (d *Directory) applyEvacuationRead(read evacuation.Snapshot, sentAt, now clock.Millis) {
	if d.evacuations == nil || read.Known == (history.Position{}) || !d.noteEpoch(read.Known.Epoch, platformSource, now) {
		return
	}
	first := d.evacuations.set.Known() == (history.Position{})
	changes := d.evacuations.set.ApplyRead(read, now)
	d.evacuations.confirm(sentAt)
	d.finishEvacuationChange(changes, first, platformSource, now)
}

// applyEvacuationMessage takes over the set of another node. Its confirmation counts only in the reply to a request of this node,
// because the time that other messages took is not known.
func (d *Directory) applyEvacuationMessage(m *evacuation.Snapshot, source string, now clock.Millis) {
	if d.evacuations == nil || m == nil {
		return
	}
	known := m.Known != (history.Position{})
	if known && !d.noteEpoch(m.Known.Epoch, source, now) && m.Known.Epoch > d.epoch {
		return
	}
	first := d.evacuations.set.Known() == (history.Position{})
	d.finishEvacuationChange(d.evacuations.set.Merge(*m, now), first, source, now)
}

// confirmEvacuations takes over the confirmation in the reply to a request that was sent at sentAt, and reports whether the reply
// has a recent one. It does if the directory doesn't follow the evacuations.
func (d *Directory) confirmEvacuations(reply *evacuation.Snapshot, sentAt clock.Millis) bool {
	if d.evacuations == nil {
		return true
	}
	if reply == nil || reply.AgeMs == unknownAgeMs || reply.Known.Epoch < d.epoch {
		return false
	}
	d.evacuations.confirm(sentAt - reply.AgeMs)
	return reply.AgeMs < confirmationSchedule.TakeoverMs
}

// finishEvacuationChange puts the changes into force and passes them on to other nodes.
func (d *Directory) finishEvacuationChange(changes []evacuation.Change, first bool, source string, now clock.Millis) {
	d.logEvacuations(changes, source, now)
	if len(changes) > 0 || first {
		d.updateView()
	}
	if len(changes) > 0 {
		// With the versions of this node in the message, nodes of an earlier version don't answer it with all their values.
		d.propagate(source, d.ownState(now))
	}
}

func (d *Directory) logEvacuations(changes []evacuation.Change, source string, now clock.Millis) {
	for _, c := range changes {
		if !d.evacuations.lines.Allow(now) {
			break
		}
		msg := "failure domain may be used again"
		if c.Evacuated {
			msg = "failure domain is evacuated"
		}
		_ = level.Warn(d.Logger).Log("msg", msg, "domain", c.Domain, "epoch", c.Epoch, "revision", c.Revision, "source", source)
	}
}

// tickEvacuations ends the hold of evacuations that a restored platform no longer lists, and the wait for the first set.
func (d *Directory) tickEvacuations(now clock.Millis) {
	if d.evacuations == nil {
		return
	}
	if expired := d.evacuations.set.Expire(now); len(expired) > 0 {
		d.logEvacuations(expired, "hold after restore has ended", now)
		d.updateView()
	}
	isolated := d.isolated(now)
	if isolated != d.evacuations.isolated {
		d.evacuations.isolated = isolated
		_ = level.Warn(d.Logger).Log(
			"msg", "node has been cut off for so long that its domain may be evacuated, or is in contact again", "cutOff", isolated)
	}
	if v := d.view.Load(); v == nil || v.cutOff != isolated {
		d.updateView()
	}
}

// isolated reports whether the node has reached neither the platform nor any other node for so long that operators rely on an
// evacuation of its domain. While only the platform is away, other nodes can be reached, and nobody can write a key.
func (d *Directory) isolated(now clock.Millis) bool {
	age := d.evacuations.age(now)
	if age == clock.Never || age < d.EvacuationMs+isolationGraceMs {
		return false
	}
	others := 0
	for _, address := range d.nodes().All {
		if address == d.Address {
			continue
		}
		if d.Peers.Reachable(address) {
			return false
		}
		others++
	}
	return others >= minOthersForIsolation
}

// awaitsEvacuations reports whether the node has just started and must not serve before it knows the evacuations.
func (d *Directory) awaitsEvacuations(now clock.Millis) bool {
	if d.evacuations == nil || d.view.Load() != nil || d.evacuations.set.Known() != (history.Position{}) {
		return false
	}
	if d.evacuations.neededAt == 0 {
		d.evacuations.neededAt = now
	}
	if now-d.evacuations.neededAt < evacuationWaitMs {
		return true
	}
	_ = level.Warn(d.Logger).Log("msg", "evacuated failure domains are not known, the node serves without them")
	return false
}

// evacuatedDomains returns the evacuated domains, or nil if there are none or the directory doesn't follow them.
func (d *Directory) evacuatedDomains() []string {
	if d.evacuations == nil {
		return nil
	}
	domains := d.evacuations.set.Domains()
	if d.evacuations.isolated && !slices.Contains(domains, d.FailureDomain) {
		domains = append(domains, d.FailureDomain)
	}
	return domains
}

// noteEvacuations compares the next view with the one in force, before requests use it.
func (d *Directory) noteEvacuations(next *View) {
	if d.evacuations == nil {
		return
	}
	if v := d.view.Load(); v != nil && v.IsEvacuated(d.FailureDomain) && !next.IsEvacuated(d.FailureDomain) && d.OnReturned != nil {
		d.OnReturned()
	}
	all := next.AllEvacuated()
	if all != d.evacuations.allEvacuated {
		d.evacuations.allEvacuated = all
		_ = level.Error(d.Logger).Log("msg", "evacuation of all failure domains has begun or ended", "allEvacuated", all)
	}
}

// watchPolicyAndEvacuations follows the policy and the evacuations until ctx ends. Like watchPolicy, it confirms nothing. base is
// the position after which all events have been seen.
func (d *Directory) watchPolicyAndEvacuations(ctx context.Context, base history.Position) {
	retry, after := watchRetryDelay, base
	for ctx.Err() == nil {
		d.calls.watches.Add(1)
		call, cancel := context.WithTimeout(ctx, watchWaitMs.Duration()+watchTimeoutMargin)
		p, changes, next, err := d.Evacuations.WatchPolicyAndEvacuations(call, after, watchWaitMs)
		cancel()
		if err != nil && !errors.Is(err, published.ErrPolicyUnreadable) {
			sleep(ctx, retry)
			retry = min(2*retry, watchRetryMaxDelay)
			if latest := d.evacuationPosition(ctx, after); after.Before(latest) {
				after, base = latest, latest
			}
			continue
		}
		retry = watchRetryDelay
		after = history.Latest(after, next)
		changes.Base = base
		d.enqueue(func(now clock.Millis) { d.applyWatchedOperators(p, changes, err, now) })
		sleep(ctx, watchBatchDelay)
	}
}

func (d *Directory) applyWatchedOperators(p *published.Policy, c evacuation.Changes, policyErr error, now clock.Millis) {
	d.finishEvacuationChange(d.evacuations.set.Apply(c), false, platformSource, now)
	if policyErr != nil {
		d.reportUnreadablePolicy(policyErr)
	}
	if p != nil {
		d.applyPolicy(*p, platformSource)
	}
}

// evacuationPosition returns the position up to which the evacuations are known, or fallback if that is later.
func (d *Directory) evacuationPosition(ctx context.Context, fallback history.Position) history.Position {
	position := make(chan history.Position, 1)
	d.enqueue(func(clock.Millis) { position <- d.evacuations.set.Known() })
	select {
	case p := <-position:
		return history.Latest(p, fallback)
	case <-ctx.Done():
		return fallback
	}
}

// IsEvacuated reports whether operators have evacuated the failure domain, so that no request may be sent to its targets.
func (v *View) IsEvacuated(domain string) bool {
	return slices.Contains(v.Evacuated, domain)
}

// AllEvacuated reports whether targets are listed and all of them are in evacuated failure domains.
func (v *View) AllEvacuated() bool {
	return len(v.Evacuated) > 0 && len(v.VMs.VMs) > 0 &&
		!slices.ContainsFunc(v.VMs.VMs, func(other vm.VM) bool { return !v.IsEvacuated(other.FailureDomain) })
}

// evacuationMetrics describes the evacuations in force.
type evacuationMetrics struct {
	Domains      []string     `json:"domains"`
	AllEvacuated bool         `json:"all"`
	AgeMs        clock.Millis `json:"ageMs"`
}

// publishEvacuations exports the evacuated domains as a metric if the directory follows them.
func (d *Directory) publishEvacuations(metrics *expvar.Map) {
	if d.evacuations == nil {
		return
	}
	metrics.Set("evacuations", expvar.Func(func() any {
		m := evacuationMetrics{Domains: []string{}, AgeMs: unknownAgeMs}
		if age := d.evacuations.age(d.Clock.Now()); age != clock.Never {
			m.AgeMs = age
		}
		if v := d.view.Load(); v != nil {
			m.Domains, m.AllEvacuated = append(m.Domains, v.Evacuated...), v.AllEvacuated()
		}
		return m
	}))
}
