package demo

import (
	"maps"
	"slices"

	"coltsfootusher.example/standin/caller"
)

const (
	percent50       = 50
	percent99       = 99
	microsPerMillis = 1000
)

func (r *run) print(c caller.Comparison) {
	total := r.result.Total
	say(r.out, "\nroot calls due %d, attempts %d\n", total.Due, total.Attempts)
	for _, verdict := range slices.Sorted(maps.Keys(total.ByVerdict)) {
		say(r.out, "  %-12s %7d\n", verdict, total.ByVerdict[verdict])
	}
	for _, reason := range slices.Sorted(maps.Keys(total.ByReason)) {
		say(r.out, "    refused for %-20s %7d\n", reason, total.ByReason[reason])
	}
	say(r.out, "complete answers by client account\n")
	for _, id := range slices.Sorted(maps.Keys(r.result.Accounts)) {
		counts := r.result.Accounts[id]
		note := ""
		if id == r.withdrawn {
			note = "  (key withdrawn)"
		}
		say(r.out, "  %-12s %6d of %6d%s\n", id, counts.ByVerdict[caller.Complete], counts.Due, note)
	}
	worst, ratio := r.worstAccount()
	say(r.out, "worst account: %s with %.4f of its calls answered whole\n", worst, ratio)
	for _, kind := range slices.Sorted(maps.Keys(r.result.Latencies)) {
		h := r.result.Latencies[kind]
		say(r.out, "latency of %-7s at the caller: p50 %.1f ms, p99 %.1f ms (%d calls)\n", kind,
			float64(h.ValueAtQuantile(percent50))/microsPerMillis, float64(h.ValueAtQuantile(percent99))/microsPerMillis,
			h.TotalCount())
	}
	say(r.out, "withdrawn key refused at every entry after %d ms\n", r.keyAfter.Milliseconds())
	say(r.out, "preset in force on every node after %d ms\n", r.presetIn.Milliseconds())
	say(r.out, "once-only operations: %d, duplicates %d, false \"not run\" %d\n",
		len(r.result.Operations), len(c.Duplicates), len(c.FalseNotRun))
}

// worstAccount leaves out the account whose key was withdrawn.
func (r *run) worstAccount() (string, float64) {
	worst, lowest := "", 2.0
	for _, id := range slices.Sorted(maps.Keys(r.result.Accounts)) {
		counts := r.result.Accounts[id]
		if id == r.withdrawn || counts.Due == 0 {
			continue
		}
		if ratio := float64(counts.ByVerdict[caller.Complete]) / float64(counts.Due); ratio < lowest {
			worst, lowest = id, ratio
		}
	}
	return worst, lowest
}
