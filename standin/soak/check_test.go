package soak

import (
	"crypto/sha256"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/platform/platformtest"
)

// kept returns the history of one operation that kept all promises.
func kept() *history {
	c := call{prefix: operationPrefix, account: steadyAccount, key: -1, sent: time.Unix(100, 0)}
	c.ID, c.Method, c.URI, c.Caller = "c1", http.MethodPost, operationPrefix+"c1", frontService
	c.answer = platformtest.Answer{Status: http.StatusOK, Target: "t1", EchoedID: "c1", BodyMatches: true}
	return &history{calls: []call{c}, runs: []platformtest.Run{{
		RequestID: "c1", Target: "t1", Service: frontService, Method: c.Method, URI: c.URI, Account: steadyAccount,
		Caller: frontService, BodySum: sha256.Sum256(nil), At: c.sent,
	}}}
}

// Guards against a check that sees nothing: each broken promise must be found, and a history without one must pass.
func TestChecksFindBrokenPromises(t *testing.T) {
	assert.Equal(t, len(kept().check()), 0)
	for want, spoil := range map[string]func(h *history){
		"answers are whole and the call's own":          func(h *history) { h.calls[0].answer.BodyMatches = false },
		"a call that is refused as not run has not run": func(h *history) { h.calls[0].answer = platformtest.Answer{Status: 503} },
		"a target's failure keeps its status":           func(h *history) { h.calls[0].answer.Status = http.StatusBadGateway },
		"an operation runs at most once":                func(h *history) { h.runs = append(h.runs, h.runs[0]) },
		"a call is forwarded unchanged":                 func(h *history) { h.runs[0].URI = "/other" },
		"a target is told the true caller and no key":   func(h *history) { h.runs[0].Account = "claimed" },
		"a call runs at the service of its route":       func(h *history) { h.runs[0].Service = deepService },
		"targets run only what was asked":               func(h *history) { h.runs[0].RequestID = "unknown" },
		"a call reaches a bounded number of targets":    manyTargets,
		"an account stays within its rate":              overRate,
		"proper calls are not denied":                   denied,
		"a withdrawn key stops working":                 lateKey,
		"a target's call bears its service":             foreignInner,
		"a target gets no more than the limit":          overLimit,
		"a target that says it leaves":                  ranWhileLeaving,
		"an evacuated domain gets no calls":             ranInEvacuatedDomain,
	} {
		h := kept()
		spoil(h)
		found := h.check()
		assert.Assert(t, len(found) > 0, want)
		assert.Assert(t, strings.Contains(found[0].String()+found[len(found)-1].String(), want), "%v, want %s", found, want)
	}
}

func manyTargets(h *history) {
	for i := range moreTargetsAllowed + 1 {
		for _, target := range []string{"t1", "t2", "t3"} {
			r := h.runs[0]
			r.RequestID, r.Target = string(rune('a'+i)), target
			h.runs = append(h.runs, r)
		}
	}
}

func overRate(h *history) {
	const calls = 400
	for i := range calls {
		c, r := h.calls[0], h.runs[0]
		c.ID = "l" + time.Duration(i).String()
		c.account, c.answer.EchoedID = limitedAccount, c.ID
		r.RequestID, r.Account, r.At = c.ID, limitedAccount, r.At.Add(time.Duration(i)*time.Millisecond)
		h.calls, h.runs = append(h.calls, c), append(h.runs, r)
	}
}

func denied(h *history) {
	for range deniedAllowed + 1 {
		c := h.calls[0]
		c.ID, c.answer = "denied", platformtest.Answer{Status: http.StatusNotFound}
		h.calls = append(h.calls, c)
	}
}

func lateKey(h *history) {
	h.calls[0].key = 0
	h.withdrawals = []withdrawal{{key: 0, at: h.calls[0].sent.Add(-revokeTime - time.Millisecond)}}
}

func foreignInner(h *history) {
	inner := platformtest.Call{ID: "c1.inner", Caller: frontService}
	h.inner = append(h.inner, inner)
	r := h.runs[0]
	r.RequestID, r.Service = inner.ID, deepService
	h.runs = append(h.runs, r)
}

// Guards against a seed that plays other faults when it is run again.
func TestScheduleFollowsFromItsSeed(t *testing.T) {
	const seed, nodes = 7, 6
	first, second := schedule(seed, nodes, time.Minute), schedule(seed, nodes, time.Minute)
	assert.Assert(t, len(first) > 0)
	for i, s := range first {
		assert.Equal(t, s.String(), second[i].String())
		assert.Assert(t, s.one != s.other)
	}
	assert.Assert(t, first[0].String() != schedule(seed+1, nodes, time.Minute)[0].String())
}

func overLimit(h *history) {
	from := time.Unix(1000, 0)
	h.statements = []statement{{target: "t1", from: from, until: from.Add(time.Minute), limited: true}}
	for i := range limitSlack + 1 {
		h.runs = append(h.runs, platformtest.Run{Target: "t1", At: from.Add(limitSettles + time.Duration(1+i)*time.Millisecond)})
	}
}

func ranWhileLeaving(h *history) {
	from := h.calls[0].sent.Add(-time.Second)
	h.statements = []statement{{target: "t1", from: from, until: from.Add(time.Minute), leaving: true}}
	h.calls[0].ended = h.calls[0].sent.Add(time.Millisecond)
	late, run := h.calls[0], h.runs[0]
	late.ID, run.RequestID = "c2", "c2"
	late.answer.EchoedID = "c2"
	late.sent = h.calls[0].ended.Add(2 * drainTime)
	late.ended, run.At = late.sent.Add(time.Millisecond), late.sent
	h.calls, h.runs = append(h.calls, late), append(h.runs, run)
}

func ranInEvacuatedDomain(h *history) {
	h.domainOf = func(string) string { return "domain-1" }
	at := h.calls[0].sent
	h.evacuations = []evacuation{{domain: "domain-1", from: at.Add(-evacuationTime - unservedTime - time.Millisecond)}}
}

// Guards against a check that blames calls which were sent in time, after the end, elsewhere, or soon after the store was away.
func TestCallsAreAllowedUntilAnEvacuationIsInForce(t *testing.T) {
	for name, change := range map[string]func(h *history, e *evacuation){
		"in time":   func(_ *history, e *evacuation) { e.from = e.from.Add(time.Second) },
		"ended":     func(h *history, e *evacuation) { e.until = h.runs[0].At },
		"elsewhere": func(_ *history, e *evacuation) { e.domain = "domain-2" },
		"store away": func(h *history, e *evacuation) {
			h.troubles = []period{{from: e.from.Add(time.Second), until: e.from.Add(2 * time.Second)}}
		},
	} {
		h := kept()
		ranInEvacuatedDomain(h)
		change(h, &h.evacuations[0])
		assert.Equal(t, len(h.check()), 0, name)
	}
}
