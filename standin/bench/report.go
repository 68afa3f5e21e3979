package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"
)

// The bounds come from the numeric targets of section 2 of the design page.
const (
	minGoodputRatio = 0.95
	maxRecovery     = 2 * time.Second
	// minNoisyRatio and minSurgeRatio are those of the worst account in the scenarios noisy and surge.
	minNoisyRatio         = 0.98
	minSurgeRatio         = 0.90
	maxInRateRefusedRatio = 0.001
	maxAddedP99Ms         = 0.9
)

const (
	percent50 = 50
	percent99 = 99
)

type report struct {
	out io.Writer
}

func newReport(o Options) *report {
	r := &report{out: o.Out}
	r.line("", "profile", "%s", o.Profile)
	r.line("", "scenario", "%s", o.Scenario)
	r.line("", "seed", "%d", o.Seed)
	return r
}

func (r *report) line(prefix, key, format string, value any) {
	_, _ = fmt.Fprintf(r.out, "%s%s="+format+"\n", prefix, key, value)
}

func (r *report) print(prefix string, f figures) {
	r.line(prefix, "goodputRatio", "%.3f", f.goodputRatio())
	r.line(prefix, "goodput", "%.0f", f.goodput)
	r.line(prefix, "offered", "%.0f", f.offered)
	r.line(prefix, "capacity", "%.0f", f.capacity)
	r.line(prefix, "recoverySeconds", "%.1f", f.recovery.Seconds())
	r.line(prefix, "recovered", "%t", f.recovered)
	r.line(prefix, "worstAccountRatio", "%.3f", f.worstAccountRatio)
	r.line(prefix, "worstAccount", "%s", f.worstAccount)
	r.line(prefix, "inRateRefusedRatio", "%.4f", f.inRateRefusedRatio)
	r.line(prefix, "addedP99Ms", "%.2f", f.loaded.addedMs(percent99))
	r.line(prefix, "addedP50Ms", "%.2f", f.loaded.addedMs(percent50))
	r.line(prefix, "directP99Ms", "%.2f", float64(f.loaded.direct.ValueAtQuantile(percent99))/1000)
	r.line(prefix, "idleAddedP99Ms", "%.2f", f.idle.addedMs(percent99))
	r.line(prefix, "probes", "%d", f.loaded.direct.TotalCount())
	r.line(prefix, "probesFailed", "%d", f.loaded.failed)
	r.line(prefix, "duplicates", "%d", f.duplicates)
	r.line(prefix, "falseNotRun", "%d", f.falseNotRun)
	r.line(prefix, "wrongAnswers", "%d", f.wrong)
	r.line(prefix, "controlCpuPercent", "%.2f", f.control.cpuPercent)
	r.line(prefix, "loadedCpuPercent", "%.1f", f.used.cpuPercent)
	r.line(prefix, "memoryMB", "%.0f", f.used.memoryMB)
	r.line(prefix, "deepExecutionsPerCall", "%.3f", f.deepPerCall)
	r.line(prefix, "onceOnlyServed", "%t", f.onceOnly)
	r.line(prefix, "omittedArrivals", "%d", f.omitted)
	r.line(prefix, "driverLateP99Ms", "%.2f", float64(f.lateP99.Microseconds())/1000)
	r.line(prefix, "wholePerSecond", "%s", joined(f.perSecond))
	for _, verdict := range slices.Sorted(maps.Keys(f.verdicts)) {
		r.line(prefix, "calls."+verdict, "%d", f.verdicts[verdict])
	}
	for _, note := range f.notes {
		r.line(prefix, "note", "%q", note)
	}
}

func joined(counts []int) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(counts), " ", ","), "[]")
}

// verdict prints the figures that miss their bounds and, as the last line, the result.
func (r *report) verdict(sc scenario, f figures) error {
	short := shortcomings(sc, f)
	result := "ok"
	if len(short) > 0 {
		result = "short"
		r.line("", "shortOf", "%s", strings.Join(short, ","))
	}
	_, err := fmt.Fprintf(r.out, "result=%s\n", result)
	return Error.Wrap(err)
}

// shortcomings returns the names of the figures that miss their bounds.
func shortcomings(sc scenario, f figures) []string {
	var short []string
	check := func(ok bool, name string) {
		if !ok {
			short = append(short, name)
		}
	}
	if sc.name == Surge || sc.name == SlowDeep {
		check(f.goodputRatio() >= minGoodputRatio, "goodputRatio")
	}
	if sc.name != Steady {
		check(f.recovered && f.recovery <= maxRecovery, "recoverySeconds")
	}
	switch sc.name {
	case Noisy:
		check(f.worstAccountRatio >= minNoisyRatio, "worstAccountRatio")
	case Surge:
		check(f.worstAccountRatio >= minSurgeRatio, "worstAccountRatio")
	}
	if sc.name == Steady || sc.name == Noisy {
		check(f.inRateRefusedRatio <= maxInRateRefusedRatio, "inRateRefusedRatio")
	}
	if sc.name == Steady {
		check(f.loaded.addedMs(percent99) <= maxAddedP99Ms, "addedP99Ms")
	}
	check(f.duplicates == 0, "duplicates")
	check(f.falseNotRun == 0, "falseNotRun")
	check(f.wrong == 0, "wrongAnswers")
	// Arrivals that the driver left out would make every other figure look better than it is.
	check(f.omitted == 0, "omittedArrivals")
	return short
}
