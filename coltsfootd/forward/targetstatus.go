package forward

import (
	"sync"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/coltsfootd/directory"
	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
	"coltsfootusher.example/core/targetstatus"
)

// targetStatuses holds the statuses of targets that this node has learned from replies.
type targetStatuses struct {
	logger log.Logger

	mu   sync.Mutex
	book *targetstatus.Book
}

func newTargetStatuses(logger log.Logger) *targetStatuses {
	return &targetStatuses{logger: logger, book: targetstatus.NewBook()}
}

// record stores the status in a reply of the target's node. A reply that was made up because the node did not answer has none.
func (t *targetStatuses) record(target string, r dispatch.Reply, now clock.Millis) {
	if r.Reason == call.ReasonNodeUnreachable || r.Load.Limit == 0 {
		return
	}
	var s targetstatus.Status
	if r.TargetStatus != nil {
		s = *r.TargetStatus
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.book.Record(target, s, now) {
		_ = level.Info(t.logger).Log("msg", "status of a target learned", "target", target, "limited", s.Limited,
			"limitPerSecond", s.LimitPerSecond, "leaving", s.Leaving)
	}
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
