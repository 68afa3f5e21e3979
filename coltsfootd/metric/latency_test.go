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

// Guards against a latency outside the range of the histogram that is not counted or breaks the histogram.
func TestOutOfRangeLatencyIsCounted(t *testing.T) {
	metrics := new(expvar.Map).Init()
	l := metric.NewLatency(metrics)
	for _, latency := range []clock.Millis{0, 5, 5, 10_000_000} {
		l.Observe(route.Lookup, metric.Answered, latency)
	}
	l.Observe(route.Lookup, metric.Refused, 10_000_000)
	var published map[string]map[string]int64
	assert.NilError(t, json.Unmarshal([]byte(metrics.Get("latencyMs").String()), &published))
	assert.Equal(t, published["lookup.answered"]["count"], int64(4))
	assert.Equal(t, published["lookup.refused"]["count"], int64(1))
	assert.Assert(t, published["lookup.refused"]["p99"] >= 59_000)
}
