package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
)

const (
	// pauseCheckInterval is the time between two clock readings, and minLoggedPause
	// the pause above which an event is logged.
	pauseCheckInterval = 200 * time.Millisecond
	minLoggedPause     = time.Second
)

// watchPauses logs when the process or the VM was paused. It takes the longer of the
// times on the monotonic and the wall clock, because the monotonic clock may stop
// while a VM is suspended.
func (n *Node) watchPauses(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, pauseCheckInterval)
		now := time.Now()
		paused := max(now.Sub(last), now.Round(0).Sub(last.Round(0))) - pauseCheckInterval
		if paused > minLoggedPause {
			event.NodePaused.Log(n.logger, zap.Duration("stood", paused))
		}
		last = now
	}
}
