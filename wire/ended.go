package wire

import (
	"context"
	"errors"
	"net"
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

// endCheck is a check whether a process has ended; hasEnded is set before done is closed.
type endCheck struct {
	done     chan struct{}
	hasEnded bool
}

// HasEnded reports whether the target's process has ended: its address refuses new
// connections or closes each without a response, or another process responds there. It
// returns false if the process lives and if that cannot be determined in time. Calls that
// were open at one target share one check.
func (p *Pool) HasEnded(ctx context.Context, id target.Instance) bool {
	p.mu.Lock()
	check := p.endCheck
	if check == nil {
		check = &endCheck{done: make(chan struct{})}
		p.endCheck = check
		go p.runEndCheck(check, id)
	}
	p.mu.Unlock()
	select {
	case <-check.done:
		return check.hasEnded
	case <-ctx.Done():
		return false
	}
}

// isBrokenConn reports whether a probe failed because its connection was closed after it had
// been established.
func isBrokenConn(err error) bool {
	var opErr *net.OpError
	isDialError := errors.As(err, &opErr) && opErr.Op == "dial"
	isLimit := errors.Is(err, ErrConnLimit) || errors.Is(err, ErrProbeBudget) || errors.Is(err, errPoolClosed)
	return !isDialError && !isLimit && !errors.Is(err, os.ErrDeadlineExceeded)
}

// runEndCheck runs a check, which does not end with the call that it was started for.
func (p *Pool) runEndCheck(check *endCheck, id target.Instance) {
	check.hasEnded = p.checkEnded(id)
	p.mu.Lock()
	p.endCheck = nil
	p.mu.Unlock()
	close(check.done)
}

// checkEnded tries new connections until one of them decides.
func (p *Pool) checkEnded(id target.Instance) bool {
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	for range brokenProbesAtEnd {
		c, report, err := p.open(ctx)
		switch {
		case err == nil:
			p.put(c, true)
			return report.Instance != "" && id != "" && report.Instance != id
		case errors.Is(err, syscall.ECONNREFUSED):
			return true
		case ctx.Err() != nil || !isBrokenConn(err):
			return false
		}
		pause.For(ctx, endCheckInterval)
	}
	return ctx.Err() == nil
}
