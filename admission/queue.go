package admission

import (
	"container/list"
	"slices"
	"time"

	"github.com/apricotmount/apricotmount/outcome"
	"github.com/apricotmount/apricotmount/profile"
)

// waiter is a call in the queue.
type waiter struct {
	caller  Caller
	urgency profile.Urgency
	// waitLimit is how long the call may wait.
	waitLimit time.Duration
	// decision receives one value: "" when the call is admitted, or the reason
	// why it was refused. It has a buffer of one, so that sending never blocks.
	decision chan outcome.Reason
	// turn receives a value when the call's turn in a Backlog may have come; nil in a Gate.
	turn chan struct{}
	// element is the position of the call in the list of its caller, or nil once
	// the call was removed from the queue.
	element *list.Element
}

// queue holds waiting calls. It serves callers round robin, and the calls of
// one caller first in, first out. Its zero value is empty.
type queue struct {
	byCaller map[Caller]*list.List
	// rotation contains the callers that have waiting calls, in the order in
	// which they are served.
	rotation []Caller
	size     int
}

func (q *queue) len() int { return q.size }

func (q *queue) callerCount() int { return len(q.rotation) }

func (q *queue) waitingCount(c Caller) int {
	if calls := q.byCaller[c]; calls != nil {
		return calls.Len()
	}
	return 0
}

// callsAhead estimates how many calls are served before a new call of c.
// Callers are served in rounds, so each other caller counts for at most one
// call per round until the new call's turn.
func (q *queue) callsAhead(c Caller) int {
	rounds := q.waitingCount(c) + 1
	n := 0
	for _, other := range q.rotation {
		n += min(rounds, q.byCaller[other].Len())
	}
	return n
}

func (q *queue) push(w *waiter) {
	if q.byCaller == nil {
		q.byCaller = make(map[Caller]*list.List)
	}
	calls := q.byCaller[w.caller]
	if calls == nil {
		calls = list.New()
		q.byCaller[w.caller] = calls
		q.rotation = append(q.rotation, w.caller)
	}
	w.element = calls.PushBack(w)
	q.size++
}

// front returns the next call, or nil if the queue is empty.
func (q *queue) front() *waiter {
	if q.size == 0 {
		return nil
	}
	return q.byCaller[q.rotation[0]].Front().Value.(*waiter)
}

// pop removes and returns the next call, or nil if the queue is empty.
func (q *queue) pop() *waiter {
	w := q.front()
	if w == nil {
		return nil
	}
	q.rotation = append(q.rotation[1:], w.caller)
	q.remove(w)
	return w
}

// remove removes a call and reports whether it was still in the queue.
func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	calls := q.byCaller[w.caller]
	calls.Remove(w.element)
	w.element = nil
	q.size--
	if calls.Len() == 0 {
		delete(q.byCaller, w.caller)
		q.rotation = slices.DeleteFunc(q.rotation, func(c Caller) bool { return c == w.caller })
	}
	return true
}

// popBack removes and returns a call for which match is true, or nil. It
// considers the newest call of each caller, starting with the caller that is
// last in the rotation.
func (q *queue) popBack(match func(*waiter) bool) *waiter {
	for _, caller := range slices.Backward(q.rotation) {
		w := q.byCaller[caller].Back().Value.(*waiter)
		if match(w) {
			q.remove(w)
			return w
		}
	}
	return nil
}
