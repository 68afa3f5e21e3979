package decision

import (
	"math"

	"github.com/go-kit/log"

	"coltsfootusher.example/core/balance"
	"coltsfootusher.example/core/clock"
)

// Cost is what is known about the cost of a request and the work of the target that was chosen for it.
type Cost struct {
	// CostMs is the expected slot time of the request at the usual speed, and AgeMs the time since the last sample of its route;
	// it is -1 if there is none, and the cost is then that of the service.
	CostMs clock.Millis `json:"costMs"`
	AgeMs  clock.Millis `json:"ageMs"`
	// RunMs is the expected slot time at the target, OutstandingMs the expected remaining slot time of its other calls.
	RunMs         clock.Millis `json:"runMs"`
	OutstandingMs clock.Millis `json:"outstandingMs"`
	// SlownessPercent is the expected slowness of the target. Its age is that of the target's load.
	SlownessPercent int `json:"slownessPercent"`
}

// NewCost returns the facts of a choice, or nil if it was not based on a cost.
func NewCost(w balance.WorkFacts, ageMs clock.Millis) *Cost {
	if w.CostMs == 0 {
		return nil
	}
	return &Cost{
		CostMs: rounded(w.CostMs), AgeMs: ageMs, RunMs: rounded(w.RunMs), OutstandingMs: rounded(w.OutstandingMs),
		SlownessPercent: w.SlownessPercent,
	}
}

func rounded(ms float64) clock.Millis {
	return clock.Millis(math.Round(ms))
}

// logger returns a logger that adds the facts to a line; a nil Cost adds none.
func (c *Cost) logger(l log.Logger) log.Logger {
	if c == nil {
		return l
	}
	return log.WithSuffix(l, "costMs", int64(c.CostMs), "costAgeMs", int64(c.AgeMs), "runMs", int64(c.RunMs),
		"outstandingMs", int64(c.OutstandingMs), "slownessPercent", c.SlownessPercent)
}
