package soak

import (
	"sync"
	"time"

	"coltsfootusher.example/platform/platformtest"
)

// call is a call with what its caller saw.
type call struct {
	platformtest.Call
	prefix  string
	account string
	// key is the number of the revocable key with which it was sent, -1 for another key.
	key int
	// node is the number of the node to which it was sent.
	node        int
	sent, ended time.Time
	answer      platformtest.Answer
}

func (c call) onceOnly() bool {
	return c.prefix == operationPrefix || c.prefix == deepPrefix
}

// withdrawal is the moment at which the store had taken a policy without the key.
type withdrawal struct {
	key int
	at  time.Time
}

// statement is what a target stated about itself in its answers for a while.
type statement struct {
	target           string
	from, until      time.Time
	limited, leaving bool
	// limit is in requests per second.
	limit float64
}

// history is what callers, targets and operators saw. It is safe for concurrent use.
type history struct {
	mu          sync.Mutex
	calls       []call
	inner       []platformtest.Call
	runs        []platformtest.Run
	withdrawals []withdrawal
	statements  []statement
	evacuations []evacuation
	// troubles are the times in which the store was away before it returned from a copy.
	troubles []period
	// domainOf returns the domain of a target.
	domainOf func(target string) string
	// nodeEnds holds the times at which processes of nodes ended.
	nodeEnds []time.Time
}

// RunStarted records a run at a target.
func (h *history) RunStarted(r platformtest.Run) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.runs = append(h.runs, r)
}

// InnerCallSent records a call of a target.
func (h *history) InnerCallSent(c platformtest.Call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.inner = append(h.inner, c)
}

func (h *history) add(c call) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.calls = append(h.calls, c)
}

func (h *history) withdrawn(key int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.withdrawals = append(h.withdrawals, withdrawal{key: key, at: time.Now()})
}

func (h *history) stated(s statement) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.statements = append(h.statements, s)
}

func (h *history) nodeEnded() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.nodeEnds = append(h.nodeEnds, time.Now())
}

func (h *history) counts() (calls, successes, runs int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, c := range h.calls {
		if c.answer.Success() {
			successes++
		}
	}
	return len(h.calls), successes, len(h.runs)
}
