package periodic

import (
	"context"
	"time"
)

// Run calls do at each interval until ctx ends. Calls do not overlap; ticks during a slow call are skipped.
func Run(ctx context.Context, interval time.Duration, do func(ctx context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			do(ctx)
		}
	}
}
