package node

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
)

const (
	// pauseTick is how often the node looks at the clocks, and pauseFrom the
	// standstill that is worth an event.
	pauseTick = 200 * time.Millisecond
	pauseFrom = time.Second
)

// watchPauses notes when process or VM stood still.
func (n *Node) watchPauses(ctx context.Context) {
	last := time.Now()
	for ctx.Err() == nil {
		pause.For(ctx, pauseTick)
		now := time.Now()
		stood := max(now.Sub(last), now.Round(0).Sub(last.Round(0))) - pauseTick
		if stood > pauseFrom {
			event.NodePaused.Log(n.logger, zap.Duration("stood", stood))
		}
		last = now
	}
}
