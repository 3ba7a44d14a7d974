package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d, or until ctx ends, and reports whether the whole of d is over. Where
// there is nothing to wait for it starts no timer.
func For(ctx context.Context, d time.Duration) (whole bool) {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// About returns a duration between nine and eleven tenths of d, so that nodes that
// start together do not stay in step.
func Jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/5+1)
}
