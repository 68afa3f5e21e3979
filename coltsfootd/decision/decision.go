package decision

import (
	"expvar"
	"strings"
	"sync"
	"time"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"coltsfootusher.example/core/call"
	"coltsfootusher.example/core/clock"
)

// The parts of a node whose decisions are recorded.
const (
	PartEntry   = "entry"
	PartPassage = "passage"
	PartGate    = "gate"
	PartEgress  = "egress"
)

// The longest texts that are recorded, in bytes. Ids are chosen by callers, and may fill a whole header.
const (
	maxIDBytes    = 128
	maxNameBytes  = 256
	maxRouteBytes = 512
)

// ShortID returns the beginning of a request's id by which its decisions are found.
func ShortID(id string) string {
	return clip(id, maxIDBytes)
}

// ShortRoute returns the beginning of a route's name under which its requests are counted.
func ShortRoute(name string) string {
	return clip(name, maxRouteBytes)
}

// clip returns the beginning of a text without keeping the rest in memory.
func clip(text string, size int) string {
	if len(text) <= size {
		return text
	}
	return strings.Clone(text[:size])
}

// Decision is one routing or admission decision with the facts that it was based on.
type Decision struct {
	// AtMs is on the node's monotonic clock and has no meaning outside the process.
	AtMs clock.Millis `json:"atMs"`
	// Time is the wall clock of the node; the recorder sets it.
	Time time.Time `json:"time"`
	// DecidedBy is the node that took the decision; the recorder sets it.
	DecidedBy string `json:"by"`
	Part      string `json:"part"`
	RequestID string `json:"requestId"`
	Account   string `json:"account,omitempty"`
	Route     string `json:"route,omitempty"`
	Action    string `json:"action"`
	// Node is the node that the decision is about, such as the one that was chosen.
	Node    string      `json:"node,omitempty"`
	Reason  call.Reason `json:"reason,omitempty"`
	Attempt int         `json:"attempt"`
	Depth   int         `json:"depth"`
	// WaitMs is the estimated or measured wait in a queue.
	WaitMs clock.Millis `json:"waitMs"`
	// FactAgeMs is the age of the facts that the decision was based on; -1 if none were known.
	FactAgeMs clock.Millis `json:"factAgeMs"`
	// ElapsedMs is the time that the whole call took, for final decisions.
	ElapsedMs clock.Millis `json:"elapsedMs"`
	// Cost is set if a target was chosen by the expected cost of the request.
	Cost *Cost `json:"cost,omitempty"`
}

// Recorder keeps recent decisions; it is safe for concurrent use.
type Recorder struct {
	node              string
	logger            log.Logger
	maxLinesPerSecond int
	omittedTotal      *expvar.Int
	// reasonCounts counts the reasons separately by part, because several parts can refuse the same call.
	reasonCounts map[string]*expvar.Map

	mu              sync.Mutex
	ring            []Decision
	next            int
	secondStart     clock.Millis
	linesThisSecond int
	// omittedUnreported counts the omitted lines that no log line has reported yet.
	omittedUnreported int64
}

// New returns the recorder of a node, which keeps the last size decisions and writes at most perSecond log lines per
// second.
func New(node string, logger log.Logger, metrics *expvar.Map, size, perSecond int) *Recorder {
	r := &Recorder{node: node, logger: logger, maxLinesPerSecond: perSecond, ring: make([]Decision, 0, size)}
	r.omittedTotal = new(expvar.Int)
	r.reasonCounts = make(map[string]*expvar.Map)
	for part, name := range map[string]string{
		PartEntry: "refusals", PartEgress: "innerRefusals", PartGate: "gateRefusals", PartPassage: "attemptFailures",
	} {
		r.reasonCounts[part] = newReasonCounter()
		metrics.Set(name, r.reasonCounts[part])
	}
	metrics.Set("decisionLinesOmitted", r.omittedTotal)
	return r
}

// newReasonCounter returns a map in which every reason is present from the start, so that alerts can rely on it.
func newReasonCounter() *expvar.Map {
	m := new(expvar.Map).Init()
	for _, reason := range call.Reasons() {
		m.Add(string(reason), 0)
	}
	return m
}

// Record stores the decision, counts its reason and writes its log line unless the limit of lines per second is reached.
func (r *Recorder) Record(d Decision) {
	d.DecidedBy, d.Time = r.node, time.Now()
	d.RequestID, d.Route = ShortID(d.RequestID), ShortRoute(d.Route)
	d.Account, d.Node = clip(d.Account, maxNameBytes), clip(d.Node, maxNameBytes)
	if counter, ok := r.reasonCounts[d.Part]; ok && d.Reason != "" {
		counter.Add(string(d.Reason), 1)
	}
	write, omitted := r.storeAndSample(d)
	if omitted > 0 {
		_ = level.Info(r.logger).Log("part", "decision", "msg", "decision lines omitted", "count", omitted)
	}
	if !write {
		r.omittedTotal.Add(1)
		return
	}
	_ = level.Info(d.Cost.logger(r.logger)).Log("part", d.Part, "msg", d.Action, "request", d.RequestID, "account", d.Account,
		"route", d.Route, "to", d.Node, "reason", d.Reason, "attempt", d.Attempt, "depth", d.Depth,
		"waitMs", int64(d.WaitMs), "factAgeMs", int64(d.FactAgeMs), "elapsedMs", int64(d.ElapsedMs))
}

// storeAndSample stores the decision. It reports whether the log line is within the limit of lines per second, and how
// many lines were omitted in an earlier second and not reported yet.
func (r *Recorder) storeAndSample(d Decision) (write bool, omitted int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.ring) < cap(r.ring) {
		r.ring = append(r.ring, d)
	} else if len(r.ring) > 0 {
		r.ring[r.next] = d
		r.next = (r.next + 1) % len(r.ring)
	}
	const second = 1000
	if d.AtMs-r.secondStart >= second {
		r.secondStart = d.AtMs
		r.linesThisSecond = 0
		omitted, r.omittedUnreported = r.omittedUnreported, 0
	}
	r.linesThisSecond++
	if r.linesThisSecond > r.maxLinesPerSecond {
		r.omittedUnreported++
		return false, omitted
	}
	return true, omitted
}

// Explain returns the decisions about a request that are still stored, oldest first.
func (r *Recorder) Explain(requestID string) []Decision {
	requestID = ShortID(requestID)
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []Decision
	for i := range r.ring {
		d := r.ring[(r.next+i)%len(r.ring)]
		if d.RequestID == requestID {
			found = append(found, d)
		}
	}
	return found
}
