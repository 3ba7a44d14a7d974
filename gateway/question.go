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
	// loadQueryTimeout is how long a target may take to say how it is.
	loadQueryTimeout = 40 * time.Millisecond
	// openQueryTimeout is how long a question stays open.
	openQueryTimeout = 1200 * time.Millisecond
	// stragglerFactor and stragglerPause bound how long the slower half of those
	// asked is waited for, after the faster half has answered.
	stragglerFactor = 2
	stragglerWait  = 4 * time.Millisecond
)

// Ask asks targets how they are and tells their tables. It returns when all have
// answered, or some time after half of them have; answers that come later still
// count.
func (f *upstreams) Ask(ctx context.Context, refs []target.Ref) {
	began := time.Now()
	answers := make(chan struct{}, len(refs))
	for _, ref := range refs {
		go func() {
			f.queryTarget(ref)
			answers <- struct{}{}
		}()
	}
	timer := time.NewTimer(2 * loadQueryTimeout)
	defer timer.Stop()
	for n := range len(refs) {
		select {
		case <-answers:
			if 2*(n+1) >= len(refs) {
				timer.Reset(stragglerFactor*time.Since(began) + stragglerWait)
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// queryTarget asks one target, or joins those that do, and waits for the patience. A full
// target answers when a slot is free, so a question stays open beyond that: its
// answer wakes the calls that wait for room.
func (f *upstreams) queryTarget(ref target.Ref) {
	s := f.active.Load().services[ref.Service]
	pool := f.Pool(ref)
	if s == nil || pool == nil {
		return
	}
	timer := time.NewTimer(loadQueryTimeout)
	defer timer.Stop()
	select {
	case <-f.openQuery(ref, pool, s.dispatch.Table):
	case <-timer.C:
		s.dispatch.Table.Mute(ref.ID, time.Now())
	}
}

// openQuery returns when the open openQuery to a target ends, and opens one if
// there is none.
func (f *upstreams) openQuery(ref target.Ref, pool *wire.Pool, table *target.Table) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done := f.openQueries[ref.ID]; done != nil {
		return done
	}
	done := make(chan struct{})
	f.openQueries[ref.ID] = done
	go func() {
		f.runQuery(ref, pool, table)
		f.mu.Lock()
		delete(f.openQueries, ref.ID)
		f.mu.Unlock()
		close(done)
	}()
	return done
}

// runQuery asks a target and tells its table what it says.
func (f *upstreams) runQuery(ref target.Ref, pool *wire.Pool, table *target.Table) {
	ctx, cancel := context.WithTimeout(f.node.ctx, openQueryTimeout)
	defer cancel()
	report, err := pool.Look(ctx, loadQueryTimeout)
	now := time.Now()
	f.node.gatewayMetrics.Asked(err == nil)
	if err != nil {
		event.TargetMute.Log(f.node.logger, zap.String("target", string(ref.ID)), zap.String("cause", eris.Cause(err).Error()))
		table.Mute(ref.ID, now)
		return
	}
	table.Probed(ref.ID, now, report)
}
