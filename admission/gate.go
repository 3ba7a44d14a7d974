package admission

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
)

// Caller identifies who a call comes from, for fairness only.
type Caller string

// Request is a call that asks to be admitted.
type Request struct {
	Urgency profile.Urgency
	Caller  Caller
	// Deadline is when the call must have ended.
	Deadline time.Time
	// Wait is the most time the call may queue.
	Wait time.Duration
}

const (
	// initialLimit is the limit of a gate before it has learnt.
	initialLimit = 16
	// minLimit keeps a gate alive when targets refuse all.
	minLimit = 1
	// maxLimit bounds a gate's growth.
	maxLimit = 4096
	// shrinkFactor is the limit's change on a refusal by the targets.
	shrinkFactor = 0.95
	// growStep is how much the limit grows while as many calls are answered at
	// it as it allows.
	growStep = 1.0
	// shrinkPause is the least time between two shrinks.
	shrinkPause = 20 * time.Millisecond
	// serviceWeight is the weight of one call in the average of service times.
	serviceWeight = 0.05
	// standingAfter is how long a queue must not have been empty to count as
	// standing: it no longer takes up a burst, it only makes all calls late.
	standingAfter = 200 * time.Millisecond
	// unfairShare is the most of a queue that one caller may fill while others
	// wait too, as a divisor of its length.
	unfairShare = 2
)

// standingWait is the part of their patience that calls may wait in a standing
// queue, as a divisor by urgency. Patient work keeps all of it.
var standingWait = [profile.Urgencies]time.Duration{profile.Urgent: 10, profile.Normal: 4, profile.Patient: 1}

// Gate admits the calls of one service in one node.
type Gate struct {
	pool   *Pool
	length int

	mu      sync.Mutex
	limit   float64
	open    int
	queue   queue
	service time.Duration
	shrunk  time.Time
	// emptyAt is when the queue was last seen empty.
	emptyAt  time.Time
	reserved int
	held     int
}

// Place is an admitted call; it must be given to Leave once.
type Place struct {
	gate    *Gate
	entered time.Time
	// Waited is how long the call queued.
	Waited time.Duration
}

// SetLength changes how many calls may wait.
func (g *Gate) SetLength(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.length = n
}

// Open is how many calls are admitted and how many wait.
func (g *Gate) Open() (open, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.open, g.queue.len()
}

// Limit is how many calls the gate lets be open at once now.
func (g *Gate) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// Enter admits a call, waiting for room if need be. A non-empty reason says
// that it was refused instead.
func (g *Gate) Enter(ctx context.Context, r Request) (p Place, refusal outcome.Reason) {
	now := time.Now()
	w, refusal := g.arrive(r, now)
	if refusal != "" {
		return Place{}, refusal
	}
	if w == nil {
		return Place{gate: g, entered: now}, ""
	}
	refusal = g.await(ctx, w)
	if refusal != "" {
		return Place{}, refusal
	}
	admitted := time.Now()
	return Place{gate: g, entered: admitted, Waited: admitted.Sub(now)}, ""
}

// arrive admits a call at once (a nil waiter), queues it, or refuses it.
func (g *Gate) arrive(r Request, now time.Time) (w *waiter, refusal outcome.Reason) {
	if !g.pool.hold(g, r.Urgency) {
		return nil, outcome.NodeFull
	}
	w, refusal = g.place(r, now)
	if refusal != "" {
		// The pool's lock is never taken under a gate's.
		g.pool.drop(g)
	}
	return w, refusal
}

// place opens or queues a call that the pool holds, or refuses it.
func (g *Gate) place(r Request, now time.Time) (w *waiter, refusal outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if float64(g.open) < g.limit && g.queue.len() == 0 {
		g.open++
		return nil, ""
	}
	if refusal := g.refuseQueued(r, now); refusal != "" {
		return nil, refusal
	}
	w = &waiter{caller: r.Caller, urgency: r.Urgency, wait: g.patience(r, now), decided: make(chan outcome.Reason, 1)}
	g.queue.push(w)
	return w, ""
}

// patience is how long a call may wait in the queue as it is. The lock must be
// held.
func (g *Gate) patience(r Request, now time.Time) time.Duration {
	if g.queue.len() == 0 {
		g.emptyAt = now
	}
	wait := r.Wait
	if now.Sub(g.emptyAt) > standingAfter {
		wait /= standingWait[r.Urgency]
	}
	return min(wait, r.Deadline.Sub(now))
}

// refuseQueued says why a call may not join the queue, or "". The lock must be
// held.
func (g *Gate) refuseQueued(r Request, now time.Time) outcome.Reason {
	if r.Wait <= 0 || g.queue.len() >= g.length {
		return outcome.QueueFull
	}
	if g.queue.callers() > 1 && g.queue.waiting(r.Caller) >= g.length/unfairShare {
		return outcome.QueueFull
	}
	// The call starts once those before it have ended, and takes as long as
	// they do.
	turns := float64(g.queue.ahead(r.Caller)+1) / max(1, g.limit)
	expected := time.Duration((turns + 1) * float64(g.service))
	if now.Add(expected).After(r.Deadline) {
		return outcome.DeadlineTooClose
	}
	return ""
}

// await waits for the decision on a queued call.
func (g *Gate) await(ctx context.Context, w *waiter) (refusal outcome.Reason) {
	timer := time.NewTimer(w.wait)
	defer timer.Stop()
	select {
	case refusal = <-w.decided:
		return refusal
	case <-timer.C:
		refusal = outcome.QueueTimeout
	case <-ctx.Done():
		refusal = outcome.CallerGone
	}
	g.mu.Lock()
	waiting := g.queue.remove(w)
	g.mu.Unlock()
	if waiting {
		g.pool.drop(g)
		return refusal
	}
	// The decision came first.
	decided := <-w.decided
	if decided == "" && refusal == outcome.CallerGone {
		g.leave(0, false)
		return refusal
	}
	return decided
}

// Leave ends an admitted call that was served for the given time; answered
// says that the targets had room for it.
func (p Place) Leave(answered bool) {
	p.gate.leave(time.Since(p.entered), answered)
}

func (g *Gate) leave(served time.Duration, answered bool) {
	g.mu.Lock()
	if answered {
		g.grow(served)
	}
	g.open--
	g.admitNext()
	g.mu.Unlock()
	g.pool.drop(g)
}

// grow learns from an answered call. The lock must be held.
func (g *Gate) grow(served time.Duration) {
	if g.service == 0 {
		g.service = served
	}
	g.service += time.Duration(serviceWeight * float64(served-g.service))
	if float64(g.open) >= g.limit-1 {
		g.limit = min(g.limit+growStep/g.limit, maxLimit)
	}
}

// Shrink learns that the targets refused an attempt for want of room.
func (g *Gate) Shrink(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.shrunk) < shrinkPause {
		return
	}
	g.shrunk = now
	g.limit = max(minLimit, min(g.limit, float64(g.open))*shrinkFactor)
}

// admitNext lets waiting calls in while there is room. The lock must be held.
func (g *Gate) admitNext() {
	for float64(g.open) < g.limit {
		w := g.queue.pop()
		if w == nil {
			return
		}
		g.open++
		w.decided <- ""
	}
}

// displace refuses the newest waiting call less urgent than u, or the newest of
// any urgency, for a call of another service. It reports whether there was one.
func (g *Gate) displace(u profile.Urgency, any bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.queue.newest(func(w *waiter) bool { return any || w.urgency > u })
	if w == nil {
		return false
	}
	w.decided <- outcome.DisplacedByUrgent
	return true
}
