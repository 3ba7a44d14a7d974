package canary

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"github.com/apricotmount/apricotmount/event"
	"github.com/apricotmount/apricotmount/pause"
	"github.com/apricotmount/apricotmount/rollout"
)

const (
	// storeTimeout bounds one call to the store.
	storeTimeout = 700 * time.Millisecond
	// storeRetryDelay is the mean delay after a failed call to the store.
	storeRetryDelay = 400 * time.Millisecond
	// maxTickGap is the time between two checks from which the node was paused, and
	// wakeDelay how long it then decides nothing: peers may have decided meanwhile, and
	// their messages arrive first.
	maxTickGap = time.Second
	wakeDelay  = 1500 * time.Millisecond
)

// decider decides about the orders while this node reads the operator topic.
type decider struct {
	exchange *Exchange
	// written holds the orders whose status this node has read or written.
	written map[rollout.OrderID]bool
}

// startDecider starts decide unless it runs.
func (x *Exchange) startDecider(ctx context.Context) {
	if x.isDeciding.CompareAndSwap(false, true) {
		go x.decide(ctx)
	}
}

// decide checks all orders regularly until none runs or ctx ends.
func (x *Exchange) decide(ctx context.Context) {
	defer x.isDeciding.Store(false)
	d := &decider{exchange: x, written: map[rollout.OrderID]bool{}}
	lastTick, resumeAt := time.Now(), time.Time{}
	isRunning := true
	for isRunning && ctx.Err() == nil {
		isRunning = false
		now := time.Now()
		if now.Sub(lastTick) > maxTickGap {
			resumeAt = now.Add(wakeDelay)
		}
		lastTick = now
		isDue := x.settings.IsReader() && now.After(resumeAt)
		for _, s := range x.all() {
			state, ok := s.State()
			if !ok || state.Phase.IsFinal() {
				continue
			}
			isRunning = true
			if isDue {
				d.step(ctx, s, state)
				// A call to the store is no pause of the node.
				lastTick = time.Now()
			}
		}
		pause.For(ctx, pause.Jitter(2*checkInterval))
	}
}

// step takes the next step of an order.
func (d *decider) step(ctx context.Context, s *rollout.Service, state rollout.State) {
	x, id := d.exchange, state.Order.ID
	switch {
	case state.Phase == rollout.Pending || !d.written[id] && state.Phase == rollout.Observing:
		d.begin(ctx, s, state)
	case state.Phase == rollout.Observing && s.CanMove(time.Now()) && x.settings.IsLinked():
		x.advance(s, id, rollout.Moving, time.Time{})
	case state.Phase == rollout.Moving && s.HasSettled(time.Now()):
		d.finish(ctx, s, state, rollout.Succeeded)
	case state.Phase == rollout.Stopped:
		d.finish(ctx, s, state, rollout.RolledBack)
	}
}

// begin reads the status of an order. A result is adopted; without any, it writes that the
// order runs.
func (d *decider) begin(ctx context.Context, s *rollout.Service, state rollout.State) {
	status, end, err := d.read(ctx, state)
	if err != nil {
		return
	}
	id := state.Order.ID
	if status.Order == id {
		d.written[id] = true
		d.exchange.advance(s, id, status.Phase, status.StartedAt)
		return
	}
	d.exchange.advance(s, id, rollout.Observing, time.Time{})
	if d.write(ctx, newStatus(state, rollout.Observing), end) == nil {
		d.written[id] = true
	}
}

// finish writes the result of an order, unless the store holds one.
func (d *decider) finish(ctx context.Context, s *rollout.Service, state rollout.State, result rollout.Phase) {
	status, end, err := d.read(ctx, state)
	if err != nil {
		return
	}
	id := state.Order.ID
	if status.Order == id && status.Phase.IsFinal() {
		d.exchange.advance(s, id, status.Phase, status.StartedAt)
		return
	}
	current, ok := s.State()
	if !ok || current.Order.ID != id || current.Phase != state.Phase {
		return
	}
	if d.write(ctx, newStatus(state, result), end) == nil {
		d.exchange.advance(s, id, result, time.Time{})
	}
}

func newStatus(state rollout.State, p rollout.Phase) Status {
	return Status{Service: state.Order.Service, Version: state.Order.Version, Order: state.Order.ID, Phase: p, StartedAt: state.StartedAt}
}

func (d *decider) read(ctx context.Context, state rollout.State) (status Status, end StatusEnd, err error) {
	defer func() { d.backOff(ctx, state, err) }()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	return d.exchange.settings.Store.ReadStatus(callCtx, state.Order.Service)
}

func (d *decider) write(ctx context.Context, s Status, end StatusEnd) (err error) {
	defer func() { d.backOff(ctx, rollout.State{Order: rollout.Order{Service: s.Service}}, err) }()
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if err := d.exchange.settings.Store.WriteStatus(callCtx, s, end); err != nil {
		return err
	}
	event.RolloutStatus.Log(d.exchange.settings.Logger, zap.String("service", string(s.Service)), zap.String("to", string(s.Version)), zap.Stringer("phase", s.Phase))
	return nil
}

// backOff logs a failed call to the store and waits. After a conflict the topic is read anew
// at once.
func (d *decider) backOff(ctx context.Context, state rollout.State, err error) {
	if err == nil || eris.Is(err, ErrConflict) || ctx.Err() != nil {
		return
	}
	event.RolloutStoreFailed.Log(d.exchange.settings.Logger, zap.String("service", string(state.Order.Service)), zap.String("cause", eris.Cause(err).Error()))
	pause.For(ctx, pause.Jitter(storeRetryDelay))
}
