package localtarget

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against not counting inner calls of retried requests as retries, and against a fraction that remains after the
// requests have ended.
func TestRetryFractionOfRunningRequests(t *testing.T) {
	var g retryGauge
	assert.Equal(t, g.fraction(), 0.0)
	for _, probability := range []float64{1, 0, 0.5, 0.5} {
		g.begin(probability)
	}
	assert.Equal(t, g.fraction(), 0.5)
	g.end(1)
	g.end(0)
	assert.Equal(t, g.fraction(), 0.5)
	g.end(0.5)
	g.end(0.5)
	assert.Equal(t, g.fraction(), 0.0)
}
