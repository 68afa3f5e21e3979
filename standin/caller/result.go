package caller

import (
	"maps"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Verdict is how a root call ended for its caller.
type Verdict string

// The verdicts.
const (
	// Complete means that the whole and own answer arrived.
	Complete Verdict = "complete"
	// Wrong means a response with status 200 that is not the whole answer to the request.
	Wrong Verdict = "wrong"
	// Truncated means that the body ended before its announced end.
	Truncated Verdict = "truncated"
	// Refused means a response with a status other than 200.
	Refused Verdict = "refused"
	// TimedOut means that no response arrived in time.
	TimedOut Verdict = "timedOut"
	// Broken means that the connection failed.
	Broken Verdict = "broken"
	// NotIssued means that no operation id was obtained, so that the operation was not sent.
	NotIssued Verdict = "notIssued"
	// Omitted means that the call was not sent because of Settings.MaxInFlight.
	Omitted Verdict = "omitted"
)

// BucketWidth is the width of the buckets of a timeline.
const BucketWidth = 100 * time.Millisecond

const (
	maxLatencyUs      = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Bucket counts the root calls that were due, and the complete ones that ended, in a part of the timeline.
type Bucket struct {
	Due      int64 `json:"due"`
	Complete int64 `json:"complete"`
}

// Counts are the counters of a client account or of the whole load.
type Counts struct {
	// Due is the number of root calls that the arrival process produced.
	Due int64 `json:"due"`
	// Attempts includes retries.
	Attempts  int64             `json:"attempts"`
	ByVerdict map[Verdict]int64 `json:"byVerdict"`
	// ByReason counts the final refusals by the header Coltsfoot-Reason, or by status if there is none.
	ByReason map[string]int64 `json:"byReason,omitempty"`
	Timeline []Bucket         `json:"timeline,omitempty"`
}

// Attempt is one sending of a once-only operation.
type Attempt struct {
	Entry   string  `json:"entry"`
	Verdict Verdict `json:"verdict"`
	Status  int     `json:"status,omitempty"`
	Reason  string  `json:"reason,omitempty"`
	// Outcome is the header Operation-Outcome.
	Outcome string `json:"outcome,omitempty"`
	// Sent is the time at which the caller began the attempt.
	Sent time.Time `json:"-"`
}

// Ended is a root call that has ended.
type Ended struct {
	Account string
	Route   Route
	Token   string
	// Arrival is the planned time of the call, At the time of its end.
	Arrival, At time.Time
	// Verdict is that of the last attempt.
	Verdict  Verdict
	Attempts []Attempt
}

// Operation is the record of one once-only operation.
type Operation struct {
	ID       string    `json:"id"`
	Kind     Kind      `json:"kind"`
	Account  string    `json:"account"`
	Path     string    `json:"path"`
	Token    string    `json:"token"`
	Attempts []Attempt `json:"attempts"`
}

// Told reports whether any attempt was answered with the outcome.
func (o Operation) Told(outcome string) bool {
	for _, a := range o.Attempts {
		if a.Outcome == outcome {
			return true
		}
	}
	return false
}

// Result is what a load recorded.
type Result struct {
	Total    Counts            `json:"total"`
	Accounts map[string]Counts `json:"accounts"`
	// Mistakes are the first wrong answers, for the log.
	Mistakes   []string    `json:"mistakes,omitempty"`
	Operations []Operation `json:"operations,omitempty"`
	// Latencies in microseconds of complete calls by kind, from the arrival to the end, with client delays and
	// retries. The time to obtain an operation id is not included.
	Latencies map[Kind]*hdrhistogram.Histogram `json:"-"`
}

const maxMistakes = 20

func newCounts() Counts {
	return Counts{ByVerdict: make(map[Verdict]int64), ByReason: make(map[string]int64)}
}

func newResult(accounts []Account) *Result {
	r := &Result{
		Total:     newCounts(),
		Accounts:  make(map[string]Counts),
		Latencies: make(map[Kind]*hdrhistogram.Histogram),
	}
	for _, a := range accounts {
		r.Accounts[a.ID] = newCounts()
	}
	for _, kind := range []Kind{Lookup, Issued, OwnKey} {
		r.Latencies[kind] = hdrhistogram.New(1, maxLatencyUs, significantDigits)
	}
	return r
}

func (c Counts) clone() Counts {
	c.ByVerdict = maps.Clone(c.ByVerdict)
	c.ByReason = maps.Clone(c.ByReason)
	c.Timeline = append([]Bucket{}, c.Timeline...)
	return c
}

func (c *Counts) bucket(since time.Duration) *Bucket {
	index := int(since / BucketWidth)
	for len(c.Timeline) <= index {
		c.Timeline = append(c.Timeline, Bucket{})
	}
	return &c.Timeline[index]
}

func (c *Counts) countDue(since time.Duration) {
	c.Due++
	c.bucket(since).Due++
}

func (c *Counts) countEnd(last Attempt, attempts int, since time.Duration) {
	c.Attempts += int64(attempts)
	c.ByVerdict[last.Verdict]++
	switch {
	case last.Verdict == Complete:
		c.bucket(since).Complete++
	case last.Reason != "":
		c.ByReason[last.Reason]++
	}
}
