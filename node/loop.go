package node

import (
	"context"
	"time"

	"github.com/apricotmount/apricotmount/pause"
)

// every calls f again and again, about as often as said, until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		pause.For(ctx, pause.Jitter(d))
	}
}
