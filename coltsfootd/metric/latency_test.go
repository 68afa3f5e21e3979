package metric_test

import (
	"encoding/json"
	"expvar"
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/metric"
	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/route"
)

// Guards against a value out of range that is lost or breaks the histogram.
func TestOutOfRangeLatencyIsCounted(t *testing.T) {
	metrics := new(expvar.Map).Init()
	l := metric.NewLatency(metrics)
	for _, took := range []clock.Millis{0, 5, 5, 10_000_000} {
		l.Observe(route.Lookup, metric.Answered, took)
	}
	l.Observe(route.Lookup, metric.Refused, 10_000_000)
	var shown map[string]map[string]int64
	assert.NilError(t, json.Unmarshal([]byte(metrics.Get("latencyMs").String()), &shown))
	assert.Equal(t, shown["lookup.answered"]["count"], int64(4))
	assert.Equal(t, shown["lookup.refused"]["count"], int64(1))
	assert.Assert(t, shown["lookup.refused"]["p99"] >= 59_000)
}
