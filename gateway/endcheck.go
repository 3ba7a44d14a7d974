package gateway

import (
	"context"
	"sync"

	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

// endChecks checks after lost responses whether the processes of targets have ended. The
// calls that were open at one target share one check.
type endChecks struct {
	mu   sync.Mutex
	open map[vm.ID]*endCheck
}

// endCheck is one check; hasEnded is set before done is closed.
type endCheck struct {
	done     chan struct{}
	hasEnded bool
}

// join returns the open check of a target; isNew reports whether it is the caller that has
// to run it.
func (c *endChecks) join(id vm.ID) (check *endCheck, isNew bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if check = c.open[id]; check != nil {
		return check, false
	}
	if c.open == nil {
		c.open = map[vm.ID]*endCheck{}
	}
	check = &endCheck{done: make(chan struct{})}
	c.open[id] = check
	return check, true
}

// finish ends a check with its result.
func (c *endChecks) finish(id vm.ID, check *endCheck, hasEnded bool) {
	c.mu.Lock()
	delete(c.open, id)
	c.mu.Unlock()
	check.hasEnded = hasEnded
	close(check.done)
}

// hasEnded reports whether a target's process has ended, other than by a planned stop, after
// the response to a call was lost there.
func (u *upstreams) hasEnded(ctx context.Context, ref target.Ref) bool {
	s, pool := u.active.Load().services[ref.Service], u.Pool(ref)
	if s == nil || pool == nil || s.dispatch.Table.IsLeaving(ref.ID) {
		return false
	}
	check, isNew := u.endChecks.join(ref.ID)
	if isNew {
		// The check serves all calls that wait for it, so it does not end with this one.
		hasEnded := pool.HasEnded(u.node.ctx, target.Instance(ref.ID))
		u.endChecks.finish(ref.ID, check, hasEnded)
		if hasEnded {
			event.TargetEnded.Log(u.node.logger, zap.String("service", string(ref.Service)), zap.String("target", string(ref.ID)))
		}
	}
	select {
	case <-check.done:
		return check.hasEnded
	case <-ctx.Done():
		return false
	}
}
