package periodic_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"coltsfootusher.example/coltsfootd/periodic"
)

// Guards against calls after the context has ended, and against a function that is called only once.
func TestRunEndsWithItsContext(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	periodic.Run(ctx, time.Millisecond, func(context.Context) {
		if calls++; calls == 3 {
			cancel()
		}
	})
	// The select may choose one more tick that is due at the same time as the end of the context.
	assert.Assert(t, calls == 3 || calls == 4, "%d calls", calls)
}
