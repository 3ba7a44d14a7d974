package dispatch

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
)

// All targets of a service may name a rate limit, each far below what its callers send.
// A call that can be served in time waits in this node for its turn; any other is refused
// at once, with the time after which there may be a turn for it. More urgent calls go
// first, but a call that has waited for long no longer yields.

// turnQueue counts the calls of a service that wait for a turn at a target with a rate
// limit. Its zero value is empty and ready to use.
type turnQueue struct {
	mu      sync.Mutex
	waiting [profile.UrgencyCount]int
}

// turnPlace is the place of one call in a turnQueue.
type turnPlace struct {
	urgency  profile.Urgency
	joinedAt time.Time
}

// countAhead returns the number of waiting calls that go before a new one.
func (q *turnQueue) countAhead(u profile.Urgency) (n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, waiting := range q.waiting[:u+1] {
		n += waiting
	}
	return n
}

// hasMoreUrgent reports whether a call with a higher urgency waits.
func (q *turnQueue) hasMoreUrgent(u profile.Urgency) bool {
	return u > profile.Urgent && q.countAhead(u-1) > 0
}

func (q *turnQueue) add(u profile.Urgency, n int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting[u] += n
}

// yieldShare is the share of a call's objective that it waits for a turn before it no
// longer yields to more urgent calls.
const yieldShare = 0.5

// mustYieldTurn reports whether the call leaves the turns at targets with a rate limit to
// calls that wait: a new call to all that are at least as urgent, a waiting one to those
// that are more urgent.
func (r *run) mustYieldTurn() bool {
	urgency := r.call.Profile.Urgency
	if r.turnPlace == nil {
		return r.service.turnQueue.countAhead(urgency) > 0
	}
	patience := time.Duration(yieldShare * float64(r.call.Profile.LatencyObjective))
	return time.Since(r.turnPlace.joinedAt) < patience && r.service.turnQueue.hasMoreUrgent(urgency)
}

// joinTurnQueue makes the call wait for a turn, if one will come in time. Otherwise it
// returns the result of the call.
func (r *run) joinTurnQueue() *CallFailure {
	ahead := 0
	if r.turnPlace == nil {
		ahead = r.service.turnQueue.countAhead(r.call.Profile.Urgency)
	}
	turn := r.service.Table.NextTurn(time.Now(), ahead)
	if !turn.IsSender || !r.canAwaitReturn(turn.Wait) {
		r.notifyHeldBack(turn, ahead, true)
		fail := r.callFailure(outcome.TargetsLimited)
		fail.EarliestRetry = turn.Wait
		return fail
	}
	if r.turnPlace == nil {
		r.notifyHeldBack(turn, ahead, false)
		r.turnPlace = &turnPlace{urgency: r.call.Profile.Urgency, joinedAt: time.Now()}
		r.service.turnQueue.add(r.turnPlace.urgency, 1)
	}
	return nil
}

// leaveTurnQueue ends the call's wait for a turn, if it waits for one.
func (r *run) leaveTurnQueue() {
	if r.turnPlace == nil {
		return
	}
	r.service.turnQueue.add(r.turnPlace.urgency, -1)
	r.turnPlace = nil
}
