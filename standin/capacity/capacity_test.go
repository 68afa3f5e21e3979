package capacity

import (
	"bytes"
	"context"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a measurement that fails, that is not a number, or that rests on fewer than three sizes.
func TestRunPrintsThreeSizesOfEachMetric(t *testing.T) {
	var out bytes.Buffer
	assert.NilError(t, Run(context.Background(), Options{Out: &out, Divisor: 100, MinCPU: time.Millisecond}))
	sizes := make(map[string]int)
	for line := range strings.Lines(out.String()) {
		key, value, ok := strings.Cut(strings.TrimSpace(line), "=")
		assert.Assert(t, ok, line)
		parts := strings.Split(key, ".")
		if len(parts) < 2 {
			continue
		}
		number, err := strconv.ParseFloat(value, 64)
		assert.NilError(t, err, line)
		assert.Assert(t, number == number, "%s is not a number", line)
		if _, err := strconv.Atoi(parts[1]); err == nil {
			sizes[parts[0]+"."+parts[2]]++
		}
	}
	assert.Assert(t, len(sizes) > 25)
	for metric, count := range sizes {
		assert.Equal(t, count, 3, metric)
	}
}

// Guards against calls to the platform that grow with the fleet, and against a version that does not reach every node.
func TestPlatformCallsDoNotGrowWithTheFleet(t *testing.T) {
	var calls []int
	for _, size := range []int{44, 132} {
		snapshot, err := snapshotOf(1, size)
		assert.NilError(t, err)
		s := newSimulation(snapshot)
		assert.NilError(t, s.await(s.ready, "ready"))
		s.measure(steadyMs)
		calls = append(calls, s.platformCalls)
		s.publish()
		assert.NilError(t, s.await(s.inForce, "in force"))
		assert.Equal(t, s.mostHops(), 2, "platform, watcher, node")
	}
	assert.Assert(t, calls[0] > 0)
	assert.Assert(t, calls[1] <= calls[0]+calls[0]/10, "%v", calls)
}

// Guards against a wrong slope, on which all of docs/CAPACITY.md rests.
func TestFit(t *testing.T) {
	slope, base := fit([]point{{1, 5}, {2, 7}, {4, 11}})
	assert.Equal(t, slope, 2.0)
	assert.Equal(t, base, 3.0)
}
