package soak

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"slices"
	"time"

	"coltsfootusher.example/platform/platformtest"
)

const (
	// revokeTime is the time within which a withdrawn key must stop working everywhere.
	revokeTime = 3 * time.Second
	// quotaWindow, quotaOver and quotaSlack are the window in which the rate of an account is judged, and what may be over.
	quotaWindow = 5 * time.Second
	quotaOver   = 0.25
	quotaSlack  = 20
	// moreTargetsAllowed is the number of calls that may run at more targets than allowed, as targets die meanwhile.
	moreTargetsAllowed = 3
	// deniedAllowed and deniedPart bound the proper calls that are answered with an error of the caller's.
	deniedAllowed = 5
	deniedPart    = 0.002
)

// violation is a promise that was not kept.
type violation struct {
	promise, detail string
}

// String returns the promise and the detail.
func (v violation) String() string {
	return v.promise + ": " + v.detail
}

// check returns the promises that the history shows as broken.
func (h *history) check() []violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := make(map[string][]platformtest.Run)
	for _, r := range h.runs {
		runs[r.RequestID] = append(runs[r.RequestID], r)
	}
	var found []violation
	for _, c := range h.calls {
		found = append(found, checkAnswer(c, runs[c.ID])...)
		found = append(found, checkRuns(c, runs[c.ID])...)
		found = append(found, h.checkKey(c, runs[c.ID])...)
	}
	found = append(found, h.checkOrigins(runs)...)
	found = append(found, h.checkTargets(runs)...)
	found = append(found, h.checkQuota(runs)...)
	found = append(found, h.checkLimits()...)
	found = append(found, h.checkLeaving(runs)...)
	found = append(found, h.checkEvacuations(runs)...)
	return append(found, h.checkDenied()...)
}

// checkAnswer checks that the answer is the whole one of a target that ran the call, and that a refusal is true.
func checkAnswer(c call, runs []platformtest.Run) []violation {
	a := c.answer
	detail := fmt.Sprintf("call %s %s at node %d: status %d of target %q", c.ID, c.URI, c.node, a.Status, a.Target)
	ranThere := slices.ContainsFunc(runs, func(r platformtest.Run) bool { return r.Target == a.Target })
	switch {
	case a.Success() && (!a.BodyMatches || !ranThere || a.EchoedID != c.ID):
		return []violation{{"answers are whole and the call's own", detail}}
	case a.PromisesNotRun() && c.onceOnly() && len(runs) > 0:
		return []violation{{"a call that is refused as not run has not run", detail}}
	case a.Status != 0 && !a.Success() && a.Target != "" && a.Status != http.StatusInternalServerError:
		return []violation{{"a target's failure keeps its status", detail}}
	}
	return nil
}

// checkRuns checks what targets saw of the call.
func checkRuns(c call, runs []platformtest.Run) []violation {
	var found []violation
	if c.onceOnly() && len(runs) > 1 {
		found = append(found, violation{"an operation runs at most once", fmt.Sprintf("%s ran %d times", c.ID, len(runs))})
	}
	for _, r := range runs {
		detail := fmt.Sprintf("%s at target %s: %+v", c.ID, r.Target, r)
		if r.Method != c.Method || r.URI != c.URI || r.BodySum != sha256.Sum256(c.Body) {
			found = append(found, violation{"a call is forwarded unchanged", detail})
		}
		if r.Account != c.account || r.Caller != c.Caller || r.Key != "" {
			found = append(found, violation{"a target is told the true caller and no key", detail})
		}
		if r.Service != serviceOf(c.prefix) {
			found = append(found, violation{"a call runs at the service of its route", detail})
		}
	}
	return found
}

// checkKey checks that a withdrawn key has stopped working in time.
func (h *history) checkKey(c call, runs []platformtest.Run) []violation {
	for _, w := range h.withdrawals {
		if c.key == w.key && len(runs) > 0 && c.sent.After(w.at.Add(revokeTime)) {
			return []violation{{"a withdrawn key stops working", fmt.Sprintf(
				"%s was sent to node %d %s after the key was withdrawn, and ran", c.ID, c.node, c.sent.Sub(w.at))}}
		}
	}
	return nil
}

// checkOrigins checks that all runs stem from calls.
func (h *history) checkOrigins(runs map[string][]platformtest.Run) []violation {
	known := make(map[string]bool)
	for _, c := range h.calls {
		known[c.ID] = true
	}
	var found []violation
	for _, c := range h.inner {
		known[c.ID] = true
		for _, r := range runs[c.ID] {
			if r.Caller != c.Caller || r.Account != "" || r.Service != serviceOf(innerPrefix) {
				found = append(found, violation{"a target's call bears its service", fmt.Sprintf("%+v", r)})
			}
		}
	}
	for id, list := range runs {
		if !known[id] {
			found = append(found, violation{"targets run only what was asked", fmt.Sprintf("%+v", list[0])})
		}
	}
	return found
}

// checkTargets checks the number of targets that ran one call.
func (h *history) checkTargets(runs map[string][]platformtest.Run) []violation {
	over := 0
	for _, list := range runs {
		targets := make(map[string]bool)
		for _, r := range list {
			targets[r.Target] = true
		}
		if len(targets) > maxTargets {
			over++
		}
	}
	if over <= moreTargetsAllowed {
		return nil
	}
	return []violation{{"a call reaches a bounded number of targets", fmt.Sprintf("%d calls ran at more", over)}}
}

// checkQuota checks the runs of the account with a rate in each window.
func (h *history) checkQuota(runs map[string][]platformtest.Run) []violation {
	var at []time.Time
	for _, c := range h.calls {
		if c.account == limitedAccount && len(runs[c.ID]) > 0 {
			at = append(at, runs[c.ID][0].At)
		}
	}
	slices.SortFunc(at, time.Time.Compare)
	allowed := (limitedRate*quotaWindow.Seconds()+limitedBurst)*(1+quotaOver) + quotaSlack
	first := 0
	for i := range at {
		for at[i].Sub(at[first]) > quotaWindow {
			first++
		}
		if n := i - first + 1; float64(n) > allowed {
			return []violation{{"an account stays within its rate", fmt.Sprintf("%d runs in %s, %.0f allowed", n, quotaWindow, allowed)}}
		}
	}
	return nil
}

// checkDenied checks that calls which every policy allows are not answered as if they were not.
func (h *history) checkDenied() []violation {
	denied := 0
	var last call
	for _, c := range h.calls {
		status := c.answer.Status
		proper := c.key < 0 && c.prefix != addedPrefix
		callersError := status >= http.StatusMultipleChoices && status < http.StatusInternalServerError
		if proper && callersError && !c.answer.PromisesNotRun() {
			denied++
			last = c
		}
	}
	if float64(denied) <= deniedAllowed+deniedPart*float64(len(h.calls)) {
		return nil
	}
	return []violation{{"proper calls are not denied", fmt.Sprintf(
		"%d of %d, the last one %s: status %d", denied, len(h.calls), last.ID, last.answer.Status)}}
}
