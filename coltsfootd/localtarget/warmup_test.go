package localtarget

import (
	"testing"

	"github.com/go-kit/log"

	"coltsfootusher.example/core/clock"
	"coltsfootusher.example/core/dispatch"
)

// BenchmarkRequestWithoutAllowance measures what the warm-up costs a request while the service publishes no allowance.
func BenchmarkRequestWithoutAllowance(b *testing.B) {
	r := &Runner{warmup: newWarmupMonitor(log.NewNopLogger(), 0)}
	r.warmup.viewed.Store(true)
	b.ReportAllocs()
	for now := range clock.Millis(b.N) {
		r.beforeAdmission(dispatch.Context{})
		if r.warmup.leftMs(now) != 0 {
			b.Fatal("cold")
		}
	}
}
