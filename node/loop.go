package node

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/pause"
)

// runPeriodically calls f until ctx ends and waits about interval, within a tenth,
// between calls. The jitter keeps nodes that start together from running in step.
func runPeriodically(ctx context.Context, interval time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		pause.For(ctx, pause.Jitter(interval))
	}
}
