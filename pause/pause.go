package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for d or until ctx is done, and reports whether all of d has passed.
// It returns true without starting a timer if d is not positive.
func For(ctx context.Context, d time.Duration) (completed bool) {
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

// About returns a random duration between 90% and 110% of d. The jitter keeps nodes
// that start together from running in lockstep.
func Jitter(d time.Duration) time.Duration {
	return d*9/10 + rand.N(d/5+1)
}
