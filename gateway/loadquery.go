package gateway

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/wire"
)

const (
	// loadQueryTimeout is the time after which a target without a response counts as
	// unresponsive.
	loadQueryTimeout = 40 * time.Millisecond
	// openQueryTimeout bounds a load query as a whole. It is longer than
	// loadQueryTimeout because late responses are used too.
	openQueryTimeout = 1200 * time.Millisecond
	// stragglerFactor and stragglerWait bound the wait for the remaining targets once
	// half of the queries have ended: a multiple of the time they took, plus a constant.
	// The wait starts anew with each further query that ends.
	stragglerFactor = 2
	stragglerWait   = 4 * time.Millisecond
)

// QueryLoad sends load queries to targets and passes the reports to their tables. It
// returns when all queries have ended or timed out, or a short time after half of them
// have; later responses still update the tables.
func (u *upstreams) QueryLoad(ctx context.Context, refs []target.Ref) {
	start := time.Now()
	finished := make(chan struct{}, len(refs))
	for _, ref := range refs {
		go func() {
			u.queryTarget(ref)
			finished <- struct{}{}
		}()
	}
	timer := time.NewTimer(2 * loadQueryTimeout)
	defer timer.Stop()
	for n := range len(refs) {
		select {
		case <-finished:
			if 2*(n+1) >= len(refs) {
				timer.Reset(stragglerFactor*time.Since(start) + stragglerWait)
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// queryTarget starts a load query to a target or joins the open one, and waits at most
// loadQueryTimeout. A full target responds once a slot is free, so the query stays open
// after the timeout: its response wakes the calls that wait for a free slot.
func (u *upstreams) queryTarget(ref target.Ref) {
	s := u.active.Load().services[ref.Service]
	pool := u.Pool(ref)
	if s == nil || pool == nil {
		return
	}
	timer := time.NewTimer(loadQueryTimeout)
	defer timer.Stop()
	select {
	case <-u.openQuery(ref, pool, s.dispatch.Table):
	case <-timer.C:
		s.dispatch.Table.MarkUnresponsive(ref.ID, time.Now())
	}
}

// openQuery returns a channel that is closed when the open load query to a target ends.
// It starts a query if none is open.
func (u *upstreams) openQuery(ref target.Ref, pool *wire.Pool, table *target.Table) <-chan struct{} {
	u.mu.Lock()
	defer u.mu.Unlock()
	if done := u.openQueries[ref.ID]; done != nil {
		return done
	}
	done := make(chan struct{})
	u.openQueries[ref.ID] = done
	go func() {
		u.runQuery(ref, pool, table)
		u.mu.Lock()
		delete(u.openQueries, ref.ID)
		u.mu.Unlock()
		close(done)
	}()
	return done
}

// runQuery sends a load query to a target and passes the result to its table.
func (u *upstreams) runQuery(ref target.Ref, pool *wire.Pool, table *target.Table) {
	ctx, cancel := context.WithTimeout(u.node.ctx, openQueryTimeout)
	defer cancel()
	startedAt := time.Now()
	report, err := pool.QueryLoad(ctx, loadQueryTimeout)
	now := time.Now()
	u.node.gatewayMetrics.CountLoadQuery(err == nil)
	if err != nil {
		event.TargetMute.Log(u.node.logger, zap.String("target", string(ref.ID)), zap.String("cause", eris.Cause(err).Error()))
		table.MarkUnresponsive(ref.ID, now)
		u.node.recordSilence(ref, table, startedAt)
		return
	}
	u.node.recordContact(ref.Service)
	if !u.node.quarantine.IsEmpty() && report.Instance == target.Instance(ref.ID) {
		u.node.quarantine.RecordAlive(processOf(ref.ID, table.Incarnation(ref.ID)), startedAt)
	}
	table.RecordReport(ref.ID, now, report)
}
