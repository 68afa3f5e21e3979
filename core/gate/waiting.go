package gate

import (
	"maps"
	"slices"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// AnySender stands for all senders of calls.
const AnySender uint64 = 0

// LimitDeadlines moves the deadlines of the waiting calls of a sender forward to the time after which it can't pass on their
// responses, and refuses those that can no longer finish. AnySender stands for all senders.
func (g *Gate) LimitDeadlines(sender uint64, deadline, now clock.Millis) []Decision {
	for _, w := range g.queue.waiters {
		if sender == AnySender || w.request.Sender == sender {
			w.request.Deadline = min(w.request.Deadline, deadline)
		}
	}
	return g.Tick(now)
}

// WaitingTargets returns the ids of the targets for which calls wait.
func (g *Gate) WaitingTargets() []string {
	targets := make(map[string]bool)
	for _, w := range g.queue.waiters {
		targets[w.request.Target] = true
	}
	return slices.Collect(maps.Keys(targets))
}

// RefuseWaiting refuses the waiting calls for the targets to which reasons gives one.
func (g *Gate) RefuseWaiting(reasons map[string]call.Reason, now clock.Millis) []Decision {
	var refused []*waiter
	for _, w := range g.queue.waiters {
		if reasons[w.request.Target] != "" {
			refused = append(refused, w)
		}
	}
	sortByArrival(refused)
	var decisions []Decision
	for _, w := range refused {
		g.remove(w)
		decisions = g.refuse(decisions, w.request, reasons[w.request.Target], now)
	}
	return g.dispatch(now, decisions)
}
