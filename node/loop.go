package node

import (
	"context"
	"math/rand/v2"
	"time"
)

// every calls f again and again, about as often as said, until ctx ends.
func every(ctx context.Context, d time.Duration, f func()) {
	for ctx.Err() == nil {
		f()
		wait(ctx, d*9/10+rand.N(d/5))
	}
}

func wait(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
