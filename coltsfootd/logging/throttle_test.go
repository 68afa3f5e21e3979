package logging_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/logging"
	"coltsfootusher.example/core/clock"
)

// Guards against a target that changes its statement with every answer and so fills the log.
func TestThrottleBoundsLinesPerSecond(t *testing.T) {
	throttle := logging.NewThrottle(3)
	const seconds, linesPerSecond = 10, 1000
	lines := 0
	for now := clock.Millis(0); now < seconds*1000; now += 1000 / linesPerSecond {
		if throttle.Allow(now) {
			lines++
		}
	}
	assert.Equal(t, lines, 3*seconds)
}
