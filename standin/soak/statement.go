package soak

import (
	"fmt"
	"slices"
	"time"

	"coltsfootusher.example/platform/platformtest"
)

const (
	// limitSettles is the time after a target has first named a limit from which on the limit must hold, limitWindow the window
	// in which it is judged, and limitOver and limitSlack what may be over it.
	limitSettles = 3 * time.Second
	limitWindow  = 4 * time.Second
	limitOver    = 1.5
	limitSlack   = 5
	// restartExcuse is the time from the end of a node's process in which the node knows nothing of targets.
	restartExcuse = 4 * time.Second
)

// restartedBetween reports whether a node was without its knowledge between the times.
func (h *history) restartedBetween(from, until time.Time) bool {
	return slices.ContainsFunc(h.nodeEnds, func(at time.Time) bool {
		return at.Before(until) && at.Add(restartExcuse).After(from)
	})
}

// checkLimits checks that targets get no more than the limits that they name, but for the time around the restart of a node.
func (h *history) checkLimits() []violation {
	for _, s := range h.statements {
		if !s.limited {
			continue
		}
		var at []time.Time
		for _, r := range h.runs {
			if r.Target == s.target && r.At.After(s.from.Add(limitSettles)) && r.At.Before(s.until) {
				at = append(at, r.At)
			}
		}
		slices.SortFunc(at, time.Time.Compare)
		allowed := limitOver*s.limit*limitWindow.Seconds() + limitSlack
		first := 0
		for i := range at {
			for at[i].Sub(at[first]) > limitWindow {
				first++
			}
			if n := i - first + 1; float64(n) > allowed && !h.restartedBetween(at[first], at[i]) {
				return []violation{{"a target gets no more than the limit that it names", fmt.Sprintf(
					"%s: %d runs in %s at a limit of %v, %.0f allowed", s.target, n, limitWindow, s.limit, allowed)}}
			}
		}
	}
	return nil
}

// checkLeaving checks that a target gets no calls of a node that has passed on an answer in which the target said that it leaves.
func (h *history) checkLeaving(runs map[string][]platformtest.Run) []violation {
	for _, s := range h.statements {
		if !s.leaving {
			continue
		}
		told := h.toldOfLeaving(s)
		for _, c := range h.calls {
			at, known := told[c.node]
			if !known || !c.sent.After(at.Add(drainTime)) || !c.sent.Before(s.until) || h.restartedBetween(s.from, c.sent) {
				continue
			}
			for _, r := range runs[c.ID] {
				if r.Target == s.target && r.At.Before(s.until) {
					return []violation{{"a target that says it leaves gets no new calls", fmt.Sprintf(
						"%s ran at %s, %s after node %d had passed on that it leaves", c.ID, s.target, c.sent.Sub(at), c.node)}}
				}
			}
		}
	}
	return nil
}

// toldOfLeaving returns by node when the first answer was passed on in which the target said that it leaves.
func (h *history) toldOfLeaving(s statement) map[int]time.Time {
	told := make(map[int]time.Time)
	for _, c := range h.calls {
		if c.answer.Target != s.target || !c.sent.After(s.from) || !c.ended.Before(s.until) {
			continue
		}
		if at, known := told[c.node]; !known || c.ended.Before(at) {
			told[c.node] = c.ended
		}
	}
	return told
}
