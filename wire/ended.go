package wire

import (
	"context"
	"errors"
	"os"
	"syscall"
	"time"

	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/target"
)

const (
	// endCheckTimeout bounds the check whether a process has ended. A path that is cut
	// gives no result for longer than that.
	endCheckTimeout = 250 * time.Millisecond
	// endCheckInterval is the time between two tries of a check.
	endCheckInterval = 20 * time.Millisecond
	// brokenProbesAtEnd is the number of new connections in a row that must be accepted
	// and closed without a response for the process to count as ended.
	brokenProbesAtEnd = 2
)

// HasEnded reports whether the target's process has ended: its address refuses new
// connections or closes each without a response, or another process responds there. It
// returns false if the process lives and if that cannot be determined in time.
func (p *Pool) HasEnded(ctx context.Context, id target.Instance) bool {
	ctx, cancel := context.WithTimeout(ctx, endCheckTimeout)
	defer cancel()
	for range brokenProbesAtEnd {
		c, report, err := p.open(ctx)
		switch {
		case err == nil:
			p.put(c, true)
			return report.Instance != "" && id != "" && report.Instance != id
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case ctx.Err() != nil || errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, ErrConnLimit) || errors.Is(err, ErrProbeBudget) || errors.Is(err, errPoolClosed):
			return false
		}
		pause.For(ctx, endCheckInterval)
	}
	return ctx.Err() == nil
}
