package forward

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/targetstatus"
	"coltsfootusher.example/core/vm"
	"coltsfootusher.example/core/warmup"
)

// coldLinesPerSecond limits the log lines about targets that this node begins to see as cold.
const coldLinesPerSecond = 5

// coldTargets holds the targets that this node sees as cold, from the list and from replies.
type coldTargets struct {
	logger log.Logger
	// known is the number of targets in the share. Nothing else is read on the path of a request while it is 0.
	known atomic.Int64

	mu    sync.Mutex
	share *warmup.Share
	lines logging.Throttle
}

func newColdTargets(logger log.Logger, seed uint64) *coldTargets {
	const stream = 4
	return &coldTargets{
		logger: logger, share: warmup.NewShare(rand.New(rand.NewPCG(seed, stream))), lines: logging.NewThrottle(coldLinesPerSecond),
	}
}

// change applies a change to what is known of a target.
func (c *coldTargets) change(v vm.VM, source string, now clock.Millis, apply func(s *warmup.Share)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	before := c.share.Cold(lifetime(v), now)
	apply(c.share)
	c.known.Store(int64(c.share.Len()))
	if after := c.share.Cold(lifetime(v), now); before != after && c.lines.Allow(now) {
		_ = level.Info(c.logger).Log("msg", "target seen as cold changed", "target", v.Name, "cold", after, "source", source)
	}
}

// replied takes what a reply says of the target. A reply that was made up because the node did not answer says nothing.
func (c *coldTargets) replied(v vm.VM, r dispatch.Reply, interval, now clock.Millis) {
	if r.Reason == call.ReasonNodeUnreachable || r.Load.Limit == 0 || r.ColdMs == 0 && c.known.Load() == 0 {
		return
	}
	c.change(v, "reply", now, func(s *warmup.Share) { s.Replied(lifetime(v), r.ColdMs, interval, now) })
}

func (c *coldTargets) sent(v vm.VM, interval, now clock.Millis) {
	if c.known.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.Sent(v.Name, interval, now)
}

// due reports whether the target is warm or this node may send it a request now.
func (c *coldTargets) due(l targetstatus.Lifetime, now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share.Due(l, now)
}

// knows reports whether something is kept of the target. Most targets in a long list are warm and unknown.
func (c *coldTargets) knows(target string) bool {
	if c.known.Load() == 0 {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share.Knows(target)
}

func (c *coldTargets) isCold(l targetstatus.Lifetime, now clock.Millis) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.share.Cold(l, now)
}

// sparesCold reports whether cold targets of the service get only the share of this node, because a warm one is usable. If all
// are cold, their gates decide.
func (s *Sender) sparesCold(vms []vm.VM, usable func(address string) bool, now clock.Millis) bool {
	if s.cold.known.Load() == 0 {
		return false
	}
	for i := range vms {
		v := &vms[i]
		if v.State != vm.Live || v.PeerAddress != s.Address && !usable(v.PeerAddress) {
			continue
		}
		if !s.cold.isCold(targetstatus.Lifetime{Target: v.Name, StartedMs: v.StartedMs}, now) {
			return true
		}
	}
	return false
}

// coldInterval returns the time between two requests of this node to a cold target of the service; 0 if the service publishes no
// allowance.
func (s *Sender) coldInterval(service string) clock.Millis {
	view := s.Values.View()
	published, _ := view.Service(service)
	return warmup.Interval(published.ColdPerSecond, len(view.VMs.VMs))
}

// ApplyColdTargets takes the remaining warm-up times in the target list.
func (s *Sender) ApplyColdTargets(v *directory.View) {
	now := s.Clock.Now()
	for _, target := range v.VMs.VMs {
		if target.ColdMs == 0 && !s.cold.knows(target.Name) {
			continue
		}
		interval := s.coldInterval(target.Service)
		if interval == 0 {
			continue
		}
		s.cold.change(target, "list", now, func(share *warmup.Share) {
			share.Listed(lifetime(target), target.Sequence, target.ColdMs, interval, now)
		})
	}
	s.cold.dropWarm(now)
}

func (c *coldTargets) dropWarm(now clock.Millis) {
	if c.known.Load() == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.share.DropWarm(now)
	c.known.Store(int64(c.share.Len()))
}

// Publish exports the number of targets that this node sees as cold, or saw as cold until a moment ago.
func (s *Sender) Publish(metrics *expvar.Map) {
	metrics.Set("coldTargets", expvar.Func(func() any { return s.cold.known.Load() }))
}
