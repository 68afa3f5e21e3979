package forward

import (
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/targetstatus"
	"coltsfootusher.example/core/vm"
)

// learnedLinesPerSecond limits the log lines about what this node learns of targets.
const learnedLinesPerSecond = 10

// targetStatuses holds the statuses of targets that this node has learned from replies.
type targetStatuses struct {
	logger log.Logger

	mu    sync.Mutex
	book  *targetstatus.Book
	lines logging.Throttle
}

func newTargetStatuses(logger log.Logger) *targetStatuses {
	return &targetStatuses{logger: logger, book: targetstatus.NewBook(), lines: logging.NewThrottle(learnedLinesPerSecond)}
}

// record stores the status in a reply of the target's node. A reply that was made up because the node did not answer has none.
func (t *targetStatuses) record(l targetstatus.Lifetime, r dispatch.Reply, now clock.Millis) {
	if r.Reason == call.ReasonNodeUnreachable || r.Load.Limit == 0 {
		return
	}
	var s targetstatus.Status
	if r.TargetStatus != nil {
		s = *r.TargetStatus
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.book.Record(l, s, now) && t.lines.Allow(now) {
		s = t.book.Get(l)
		_ = level.Info(t.logger).Log("msg", "status of a target learned", "target", l.Target, "limited", s.Limited,
			"limitPerSecond", s.LimitPerSecond, "leaving", s.Leaving)
	}
}

// lifetime returns the lifetime of the target on the VM that the target list shows.
func lifetime(v vm.VM) targetstatus.Lifetime {
	return targetstatus.Lifetime{Target: v.Name, StartedMs: v.StartedMs}
}

// get returns the status of the target, or nil if none is known.
func (t *targetStatuses) get(l targetstatus.Lifetime) *targetstatus.Status {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.book.Get(l)
	if s == (targetstatus.Status{}) {
		return nil
	}
	return &s
}

// excludeLimited excludes the targets of the service that are known to name a limit, if a live one that may get the request has
// none, and reports whether that is the case.
func (s *Sender) excludeLimited(service string, excluded map[string]bool) bool {
	var limited []string
	unlimitedLeft := false
	for _, v := range s.Values.View().VMsOfService(service) {
		if v.State != vm.Live || excluded[v.Name] {
			continue
		}
		if known := s.statuses.get(lifetime(v)); known != nil && known.Limited {
			limited = append(limited, v.Name)
		} else {
			unlimitedLeft = unlimitedLeft || v.PeerAddress == s.Address || s.Peers.Usable(v.PeerAddress)
		}
	}
	if !unlimitedLeft {
		return false
	}
	for _, target := range limited {
		excluded[target] = true
	}
	return true
}

// DropUnlistedStatuses removes the statuses of targets that are no longer listed.
func (s *Sender) DropUnlistedStatuses(v *directory.View) {
	s.statuses.mu.Lock()
	defer s.statuses.mu.Unlock()
	s.statuses.book.DropUnlisted(func(target string) bool {
		_, listed := v.VM(target)
		return listed
	}, s.Clock.Now())
}
