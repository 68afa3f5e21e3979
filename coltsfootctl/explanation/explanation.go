package explanation

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"coltsfootusher.example/coltsfootctl/node"
	"coltsfootusher.example/coltsfootd/decision"
)

const timeFormat = "15:04:05.000"

// nodeDecision is a decision and the address of the node that made it.
type nodeDecision struct {
	decision.Decision
	address string
}

// Sentences returns one sentence per decision. Decisions of one node keep their order; those of different nodes are
// sorted by the nodes' wall clocks, so their order is only as exact as the clocks are synchronized.
func Sentences(results []node.Result[[]decision.Decision]) []string {
	var decisions []nodeDecision
	for _, a := range results {
		for _, d := range a.Value {
			decisions = append(decisions, nodeDecision{d, a.Address})
		}
	}
	slices.SortStableFunc(decisions, func(a, b nodeDecision) int { return a.Time.Compare(b.Time) })
	sentences := make([]string, 0, len(decisions))
	for _, s := range decisions {
		sentences = append(sentences, sentence(s))
	}
	return sentences
}

func sentence(s nodeDecision) string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s, %s: %s", s.Time.Format(timeFormat), cmp.Or(s.DecidedBy, s.address), s.Part, s.Action)
	switch {
	case s.Node != "" && s.Node != s.DecidedBy:
		fmt.Fprintf(&b, " (to %s)", s.Node)
	case s.Part == decision.PartPassage:
		b.WriteString(" (to the node's own)")
	}
	if s.Route != "" {
		fmt.Fprintf(&b, " on %s", s.Route)
	}
	if s.Account != "" {
		fmt.Fprintf(&b, " for client account %s", s.Account)
	}
	if s.Reason != "" {
		fmt.Fprintf(&b, ", because %s (%s, status %d)", DescribeReason(s.Reason), s.Reason, s.Reason.HTTPStatus())
	}
	b.WriteString(details(s.Decision))
	b.WriteString(".")
	return b.String()
}

// details lists the numeric fields of the decision that are set.
func details(d decision.Decision) string {
	var parts []string
	if d.Attempt > 0 {
		parts = append(parts, fmt.Sprintf("attempt %d", d.Attempt+1))
	}
	if d.Depth > 0 {
		parts = append(parts, fmt.Sprintf("%d levels below the root call", d.Depth))
	}
	if d.WaitMs > 0 {
		parts = append(parts, "wait "+d.WaitMs.Duration().String())
	}
	if d.FactAgeMs > 0 {
		parts = append(parts, "load report "+d.FactAgeMs.Duration().Round(time.Millisecond).String()+" old")
	}
	if d.ElapsedMs > 0 {
		parts = append(parts, "after "+d.ElapsedMs.Duration().String()+" in all")
	}
	if len(parts) == 0 {
		return ""
	}
	return "; " + strings.Join(parts, ", ")
}
