package admission

import (
	"context"
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
)

// Caller identifies the sender of a call. It is used only for fairness between
// callers.
type Caller string

// Request describes a call to be admitted.
type Request struct {
	Urgency profile.Urgency
	Caller  Caller
	// Deadline is the time by which the call must have ended.
	Deadline time.Time
	// MaxWait is the longest time that the call may queue.
	MaxWait time.Duration
}

const (
	// initialLimit is the limit of a new gate.
	initialLimit = 16
	// minLimit keeps one call in flight when targets refuse every attempt, so
	// that the limit can increase again.
	minLimit = 1
	// maxLimit is the upper bound of the limit.
	maxLimit = 4096
	// limitDecreaseFactor multiplies the limit when targets refuse an attempt.
	limitDecreaseFactor = 0.95
	// limitIncrement is the increase of the limit per round of responses; a
	// round is as many responses as the limit.
	limitIncrement = 1.0
	// minDecreaseInterval is the shortest time between two decreases of the
	// limit.
	minDecreaseInterval = 20 * time.Millisecond
	// serviceTimeWeight is the weight of one call in the exponential moving
	// average of service times.
	serviceTimeWeight = 0.05
	// standingQueueAge is how long a queue must have been non-empty to count as
	// standing. A standing queue no longer absorbs a burst; it only delays
	// every call.
	standingQueueAge = 200 * time.Millisecond
	// callerShareDivisor limits one caller to 1/callerShareDivisor of the queue
	// while other callers wait too.
	callerShareDivisor = 2
)

// standingWaitDivisor divides, by urgency, the wait limit of calls that join a
// standing queue. Patient calls keep their whole wait limit.
var standingWaitDivisor = [profile.UrgencyCount]time.Duration{profile.Urgent: 10, profile.Normal: 4, profile.Patient: 1}

// Gate admits the calls of one service in one node.
type Gate struct {
	pool *Pool
	// queueLimit is the number of calls that may wait. It is guarded by mu.
	queueLimit int

	mu       sync.Mutex
	limit    float64
	inFlight int
	queue    queue
	// meanServiceTime is the exponential moving average of the service times of
	// calls that got a complete response.
	meanServiceTime time.Duration
	// decreasedAt is when the limit was last decreased.
	decreasedAt time.Time
	// emptyAt is the last time at which the queue was observed empty.
	emptyAt time.Time
	// reserve is the number of calls reserved for the gate in the pool, and held
	// the number that it holds there. Both are guarded by pool.mu.
	reserve int
	held    int
}

// Permit represents an admitted call. Release must be called once for it.
type Permit struct {
	gate       *Gate
	admittedAt time.Time
	// QueueDuration is the time that the call spent in the queue.
	QueueDuration time.Duration
}

// SetQueueLimit sets how many calls may wait.
func (g *Gate) SetQueueLimit(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queueLimit = n
}

// CallCounts returns the number of calls in flight and of calls in the queue.
func (g *Gate) CallCounts() (inFlight, waiting int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight, g.queue.len()
}

// Limit returns the current limit of calls in flight.
func (g *Gate) Limit() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limit
}

// Acquire admits a call, or queues it if the gate is at its limit, and returns
// once the call is admitted or refused. A non-empty refusal is the reason why
// it was refused.
func (g *Gate) Acquire(ctx context.Context, r Request) (p Permit, refusal outcome.Reason) {
	now := time.Now()
	w, refusal := g.tryAcquire(r, now)
	if refusal != "" {
		return Permit{}, refusal
	}
	if w == nil {
		return Permit{gate: g, admittedAt: now}, ""
	}
	refusal = g.awaitDecision(ctx, w)
	if refusal != "" {
		return Permit{}, refusal
	}
	admittedAt := time.Now()
	return Permit{gate: g, admittedAt: admittedAt, QueueDuration: admittedAt.Sub(now)}, ""
}

// tryAcquire admits a call at once (nil waiter), queues it, or refuses it.
func (g *Gate) tryAcquire(r Request, now time.Time) (w *waiter, refusal outcome.Reason) {
	if !g.pool.acquire(g, r.Urgency) {
		return nil, outcome.NodeFull
	}
	w, refusal = g.admitOrQueue(r, now)
	if refusal != "" {
		// Lock order: Pool.mu is never acquired while Gate.mu is held.
		g.pool.release(g)
	}
	return w, refusal
}

// admitOrQueue admits or queues a call that the pool already counts, or refuses
// it.
func (g *Gate) admitOrQueue(r Request, now time.Time) (w *waiter, refusal outcome.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if float64(g.inFlight) < g.limit && g.queue.len() == 0 {
		g.inFlight++
		return nil, ""
	}
	if refusal := g.queueRefusal(r, now); refusal != "" {
		return nil, refusal
	}
	w = &waiter{caller: r.Caller, urgency: r.Urgency, waitLimit: g.waitLimit(r, now), decision: make(chan outcome.Reason, 1)}
	g.queue.push(w)
	return w, ""
}

// waitLimit returns how long a call may wait in the queue in its current state.
// g.mu must be held.
func (g *Gate) waitLimit(r Request, now time.Time) time.Duration {
	if g.queue.len() == 0 {
		g.emptyAt = now
	}
	wait := r.MaxWait
	if now.Sub(g.emptyAt) > standingQueueAge {
		wait /= standingWaitDivisor[r.Urgency]
	}
	return min(wait, r.Deadline.Sub(now))
}

// queueRefusal returns the reason why a call may not join the queue, or "".
// g.mu must be held.
func (g *Gate) queueRefusal(r Request, now time.Time) outcome.Reason {
	if r.MaxWait <= 0 || g.queue.len() >= g.queueLimit {
		return outcome.QueueFull
	}
	if g.queue.callerCount() > 1 && g.queue.waitingCount(r.Caller) >= g.queueLimit/callerShareDivisor {
		return outcome.QueueFull
	}
	// The call starts once the calls before it have ended, and is expected to
	// take as long as they do on average.
	rounds := float64(g.queue.callsAhead(r.Caller)+1) / max(1, g.limit)
	expectedTime := time.Duration((rounds + 1) * float64(g.meanServiceTime))
	if now.Add(expectedTime).After(r.Deadline) {
		return outcome.DeadlineTooClose
	}
	return ""
}

// awaitDecision waits until a queued call is admitted or refused.
func (g *Gate) awaitDecision(ctx context.Context, w *waiter) (refusal outcome.Reason) {
	timer := time.NewTimer(w.waitLimit)
	defer timer.Stop()
	select {
	case refusal = <-w.decision:
		return refusal
	case <-timer.C:
		refusal = outcome.QueueTimeout
	case <-ctx.Done():
		refusal = outcome.CallerGone
	}
	g.mu.Lock()
	wasWaiting := g.queue.remove(w)
	g.mu.Unlock()
	if wasWaiting {
		g.pool.release(g)
		return refusal
	}
	// The decision was made before the call could be removed from the queue.
	decision := <-w.decision
	if decision == "" && refusal == outcome.CallerGone {
		g.release(0, false)
		return refusal
	}
	return decision
}

// Release ends an admitted call. responded is true if the call got a complete
// response that was no refusal, so its target had capacity for it. In this case
// the time since its admission counts as a service time, and the limit may
// increase.
func (p Permit) Release(responded bool) {
	p.gate.release(time.Since(p.admittedAt), responded)
}

func (g *Gate) release(serviceTime time.Duration, responded bool) {
	g.mu.Lock()
	if responded {
		g.recordResponse(serviceTime)
	}
	g.inFlight--
	g.admitNext()
	g.mu.Unlock()
	g.pool.release(g)
}

// recordResponse updates the mean service time, and increases the limit if the
// gate is at it. g.mu must be held.
func (g *Gate) recordResponse(serviceTime time.Duration) {
	if g.meanServiceTime == 0 {
		g.meanServiceTime = serviceTime
	}
	g.meanServiceTime += time.Duration(serviceTimeWeight * float64(serviceTime-g.meanServiceTime))
	if float64(g.inFlight) >= g.limit-1 {
		g.limit = min(g.limit+limitIncrement/g.limit, maxLimit)
	}
}

// DecreaseLimit decreases the limit after a target refused an attempt for lack
// of capacity, at most once per minDecreaseInterval. The decrease starts from
// the number of calls in flight if that is lower than the limit.
func (g *Gate) DecreaseLimit(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.decreasedAt) < minDecreaseInterval {
		return
	}
	g.decreasedAt = now
	g.limit = max(minLimit, min(g.limit, float64(g.inFlight))*limitDecreaseFactor)
}

// admitNext admits waiting calls while the gate is below its limit. g.mu must
// be held.
func (g *Gate) admitNext() {
	for float64(g.inFlight) < g.limit {
		w := g.queue.pop()
		if w == nil {
			return
		}
		g.inFlight++
		w.decision <- ""
	}
}

// displace refuses one waiting call that is less urgent than u, or of any
// urgency if anyUrgency is set, to make room for a call of another gate. It
// reports whether there was such a call.
func (g *Gate) displace(u profile.Urgency, anyUrgency bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	w := g.queue.popBack(func(w *waiter) bool { return anyUrgency || w.urgency > u })
	if w == nil {
		return false
	}
	reason := outcome.NodeFull
	if w.urgency > u {
		reason = outcome.DisplacedByUrgent
	}
	w.decision <- reason
	return true
}
