package integration

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/standin/launch"
)

const (
	// maxControlBytesPerSecond is the maximum control traffic of a node.
	maxControlBytesPerSecond = 2048
	sectionCount             = 5
	watcherCount             = 6
	observationTime          = 20 * time.Second
	// defaultWatchWait is the default value of the setting watchWaitMs.
	defaultWatchWait = 10 * time.Second
)

// Guards against platform calls from nodes that are not watchers, and against control traffic of an idle fleet above its
// limit.
func TestIdleControlTrafficStaysWithinBudget(t *testing.T) {
	seed := testSeed(t)
	f := startSablonsFleet(t, seed, nil)
	time.Sleep(2 * time.Second) // Calls that nodes make only at startup must have finished.
	ranks := nodeStatuses(t, f)
	before := controlBytes(t, f)
	f.Platform.ResetStats()
	time.Sleep(observationTime)
	stats, after := f.Platform.Stats(), controlBytes(t, f)
	for reader := range stats.ByReader {
		assert.Check(t, ranks[reader].WatcherRank >= 0, "%s read from the platform but is not a watcher", reader)
	}
	calls := stats.Values + stats.Watches
	t.Logf("platform calls per second: %.2f by %d readers", float64(calls)/observationTime.Seconds(), len(stats.ByReader))
	// One more watch per section and watcher than fits into the observation time may begin in it.
	allowed := int64(watcherCount * sectionCount * (int(observationTime/defaultWatchWait) + 1))
	assert.Check(t, calls <= allowed, "%d platform calls, want at most %d", calls, allowed)
	highest, sum := 0.0, 0.0
	for name, bytes := range after {
		rate := float64(bytes-before[name]) / observationTime.Seconds()
		highest, sum = max(highest, rate), sum+rate
		assert.Check(t, rate <= maxControlBytesPerSecond, "%s: %.0f bytes per second", name, rate)
	}
	t.Logf("control bytes per second and node: mean %.0f, highest %.0f", sum/float64(len(after)), highest)
}

func controlBytes(t *testing.T, f *launch.Fleet) map[string]int64 {
	t.Helper()
	bytes := make(map[string]int64)
	for _, v := range f.VMs {
		vars, err := v.Vars(t.Context())
		assert.NilError(t, err)
		for _, name := range []string{"controlBytesIn", "controlBytesOut"} {
			n, err := strconv.ParseInt(string(vars[name]), 10, 64)
			assert.NilError(t, err, name)
			bytes[v.Name] += n
		}
	}
	return bytes
}
