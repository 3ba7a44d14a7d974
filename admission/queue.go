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
	// wait is how long the call may wait.
	wait time.Duration
	// decided gets one value: "" when admitted, or why it was refused.
	decided chan outcome.Reason
	element *list.Element
}

// queue holds waiting calls; callers take turns, each caller's calls go in
// order. Its zero value is empty.
type queue struct {
	lanes map[Caller]*list.List
	turns []Caller
	size  int
}

func (q *queue) len() int { return q.size }

func (q *queue) callers() int { return len(q.turns) }

func (q *queue) waiting(c Caller) int {
	if lane := q.lanes[c]; lane != nil {
		return lane.Len()
	}
	return 0
}

// ahead is about how many calls go before a new one of the caller: turns are
// taken in rounds, so each other caller counts as often as this one waits.
func (q *queue) ahead(c Caller) int {
	rounds := q.waiting(c) + 1
	n := 0
	for _, other := range q.turns {
		n += min(rounds, q.lanes[other].Len())
	}
	return n
}

func (q *queue) push(w *waiter) {
	if q.lanes == nil {
		q.lanes = make(map[Caller]*list.List)
	}
	lane := q.lanes[w.caller]
	if lane == nil {
		lane = list.New()
		q.lanes[w.caller] = lane
		q.turns = append(q.turns, w.caller)
	}
	w.element = lane.PushBack(w)
	q.size++
}

// pop takes the next call by turn, or nil.
func (q *queue) pop() *waiter {
	if q.size == 0 {
		return nil
	}
	caller := q.turns[0]
	q.turns = append(q.turns[1:], caller)
	w := q.lanes[caller].Front().Value.(*waiter)
	q.remove(w)
	return w
}

// remove takes a call out and reports whether it was still waiting.
func (q *queue) remove(w *waiter) bool {
	if w.element == nil {
		return false
	}
	lane := q.lanes[w.caller]
	lane.Remove(w.element)
	w.element = nil
	q.size--
	if lane.Len() == 0 {
		delete(q.lanes, w.caller)
		q.turns = slices.DeleteFunc(q.turns, func(c Caller) bool { return c == w.caller })
	}
	return true
}

// newest takes out the newest call that gives way, or nil.
func (q *queue) newest(givesWay func(*waiter) bool) *waiter {
	for _, caller := range slices.Backward(q.turns) {
		w := q.lanes[caller].Back().Value.(*waiter)
		if givesWay(w) {
			q.remove(w)
			return w
		}
	}
	return nil
}
