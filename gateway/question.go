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
	// askPatience is how long a target may take to say how it is.
	askPatience = 40 * time.Millisecond
	// questionLimit is how long a question stays open.
	questionLimit = 1200 * time.Millisecond
	// stragglerFactor and stragglerPause bound how long the slower half of those
	// asked is waited for, after the faster half has answered.
	stragglerFactor = 2
	stragglerPause  = 4 * time.Millisecond
)

// QueryLoad asks targets how they are and tells their tables. It returns when all have
// answered, or some time after half of them have; answers that come later still
// count.
func (f *fleet) QueryLoad(ctx context.Context, refs []target.Ref) {
	began := time.Now()
	answers := make(chan struct{}, len(refs))
	for _, ref := range refs {
		go func() {
			f.ask(ref)
			answers <- struct{}{}
		}()
	}
	timer := time.NewTimer(2 * askPatience)
	defer timer.Stop()
	for n := range len(refs) {
		select {
		case <-answers:
			if 2*(n+1) >= len(refs) {
				timer.Reset(stragglerFactor*time.Since(began) + stragglerPause)
			}
		case <-timer.C:
			return
		case <-ctx.Done():
			return
		}
	}
}

// ask asks one target, or joins those that do, and waits for the patience. A full
// target answers when a slot is free, so a question stays open beyond that: its
// answer wakes the calls that wait for room.
func (f *fleet) ask(ref target.Ref) {
	s := f.current.Load().services[ref.Service]
	pool := f.Pool(ref)
	if s == nil || pool == nil {
		return
	}
	timer := time.NewTimer(askPatience)
	defer timer.Stop()
	select {
	case <-f.question(ref, pool, s.dispatch.Table):
	case <-timer.C:
		s.dispatch.Table.MarkUnresponsive(ref.ID, time.Now())
	}
}

// question returns when the open question to a target ends, and opens one if
// there is none.
func (f *fleet) question(ref target.Ref, pool *wire.Pool, table *target.Table) <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	if done := f.questions[ref.ID]; done != nil {
		return done
	}
	done := make(chan struct{})
	f.questions[ref.ID] = done
	go func() {
		f.putQuestion(ref, pool, table)
		f.mu.Lock()
		delete(f.questions, ref.ID)
		f.mu.Unlock()
		close(done)
	}()
	return done
}

// putQuestion asks a target and tells its table what it says.
func (f *fleet) putQuestion(ref target.Ref, pool *wire.Pool, table *target.Table) {
	ctx, cancel := context.WithTimeout(f.node.ctx, questionLimit)
	defer cancel()
	report, err := pool.QueryLoad(ctx, askPatience)
	now := time.Now()
	f.node.figures.CountLoadQuery(err == nil)
	if err != nil {
		event.TargetMute.Log(f.node.logger, zap.String("target", string(ref.ID)), zap.String("cause", eris.Cause(err).Error()))
		table.MarkUnresponsive(ref.ID, now)
		return
	}
	table.RecordReport(ref.ID, now, report)
}
