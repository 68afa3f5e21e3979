package routing

import (
	"cmp"
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"github.com/zeebo/errs"

	"coltsfootusher.example/coltsfootctl/explanation"
	"coltsfootusher.example/coltsfootd/preview"
)

// HasTarget reports whether the request would be sent to a target, whichever service of the route it goes to.
func HasTarget(a preview.Answer) bool {
	if a.Reason != "" {
		return false
	}
	for _, s := range a.Services {
		if s.Reason != "" {
			return false
		}
	}
	return true
}

// WriteTable writes the answer of a node for people.
func WriteTable(w io.Writer, a preview.Answer) error {
	if a.Reason != "" {
		_, err := fmt.Fprintf(w, "%s would refuse the request, because %s (%s, status %d); policy confirmed %d ms ago\n",
			a.Node, explanation.DescribeReason(a.Reason), a.Reason, a.Reason.HTTPStatus(), a.PolicyAgeMs)
		return errs.Wrap(err)
	}
	_, err := fmt.Fprintf(w, "%s: route %s, class %s, account %s, priority %d, timeout %d ms; policy confirmed %d ms ago\n",
		a.Node, a.Route, a.Class, cmp.Or(a.Account, "none"), a.Priority, a.TimeoutMs, a.PolicyAgeMs)
	if err != nil {
		return errs.Wrap(err)
	}
	for _, s := range a.Services {
		if err := writeService(w, s); err != nil {
			return err
		}
	}
	return nil
}

func writeService(w io.Writer, s preview.Service) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	lines := fmt.Sprintf("service %s, weight %v, chosen by expected wait\n", s.Service, s.Weight)
	if s.ByCost {
		lines = fmt.Sprintf("service %s, weight %v, chosen by expected completion; "+
			"cost %.0f ms, 90%% below %.0f ms, last sample %s ago\n",
			s.Service, s.Weight, s.CostMs, s.HighMs, age(int64(s.CostAgeMs)))
	}
	if s.Reason != "" {
		lines += fmt.Sprintf("  no target, because %s (%s)\n", explanation.DescribeReason(s.Reason), s.Reason)
	}
	lines += "  TARGET\tDOMAIN\tSHARE\tWAIT\tRUN\tDELAY\tWORK\tSLOWNESS\tOWN CALLS\tLOAD\tAGE\tEXCLUDED\n"
	for _, c := range s.Candidates {
		lines += fmt.Sprintf("  %s\t%s\t%.0f%%\t%.0f ms\t%.0f ms\t%.0f ms\t%.0f ms\t%d%%\t%d\t%d+%d of %d\t%s\t%s\n",
			c.Target, c.FailureDomain, math.Round(c.Share*100), c.WaitMs, c.RunMs, c.DelayMs, c.OutstandingMs, c.SlownessPercent,
			c.InFlight, c.Load.Running, c.Load.Waiting, c.Load.Limit, age(int64(c.LoadAgeMs)), c.Excluded)
	}
	if _, err := io.WriteString(t, lines); err != nil {
		return errs.Wrap(err)
	}
	return errs.Wrap(t.Flush())
}

func age(ms int64) string {
	if ms < 0 {
		return "never"
	}
	return fmt.Sprintf("%d ms", ms)
}
