package admission

import (
	"sync"
	"time"

	"github.com/apricotmount/apricotmount/profile"
)

// Backlog orders the calls of a service that wait in this node for capacity at the
// targets. One call at a time has its turn: only it looks for a target, so that a free slot
// goes to the call that needs it most and not to the one that notices it first.
//
// Calls that can still meet their objective go before late ones, more urgent calls before
// less urgent ones, and among equals callers take turns. One in maxPassedOver+1 targets goes
// to a less urgent call, so that none of them starves. The zero value is empty and ready to
// use.
type Backlog struct {
	// Limit is the number of calls that may wait; zero means no limit.
	Limit int

	mu    sync.Mutex
	lines [lineCount]queue
	// passedOver counts, for each line, the calls of other lines sent since one of its own.
	passedOver [lineCount]int
	next       *waiter
	drain      drainRate
}

const (
	// lineCount is the number of lines: one of calls that can meet their objective and one of
	// late calls for each urgency.
	lineCount = 2 * profile.UrgencyCount
	// maxPassedOver is the number of more urgent calls that are sent while a call waits that
	// can still meet its objective, before one of its line is sent.
	maxPassedOver = 4
)

// Place is the place of one call in a Backlog. Leave must be called once for it.
type Place struct {
	backlog *Backlog
	waiter  *waiter
	isLate  bool
}

// line returns the line of a call in the order of precedence.
func line(u profile.Urgency, isLate bool) int {
	if isLate {
		return int(profile.UrgencyCount + u)
	}
	return int(u)
}

// Join adds a call. It returns nil if there is no room for it, or if its caller has half of
// the room already and others wait too.
func (b *Backlog) Join(now time.Time, c Caller, u profile.Urgency, isLate bool) *Place {
	b.mu.Lock()
	defer b.mu.Unlock()
	q := &b.lines[line(u, isLate)]
	if b.Limit > 0 && (b.len() >= b.Limit || q.callerCount() > 1 && q.waitingCount(c) >= b.Limit/callerShareDivisor) {
		return nil
	}
	b.drain.advance(now, b.len() > 0)
	w := &waiter{caller: c, urgency: u, turn: make(chan struct{}, 1)}
	q.push(w)
	b.updateNext()
	return &Place{backlog: b, waiter: w, isLate: isLate}
}

// IsNext reports whether it is the call's turn to look for a target.
func (p *Place) IsNext() bool {
	p.backlog.mu.Lock()
	defer p.backlog.mu.Unlock()
	return p.backlog.next == p.waiter
}

// Turn returns a channel that receives a value when the call's turn may have come.
func (p *Place) Turn() <-chan struct{} {
	return p.waiter.turn
}

// SetLate moves a call that can no longer meet its objective behind those that can.
func (p *Place) SetLate() {
	b := p.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.isLate || !b.lines[line(p.waiter.urgency, false)].remove(p.waiter) {
		return
	}
	p.isLate = true
	b.lines[line(p.waiter.urgency, true)].push(p.waiter)
	b.updateNext()
}

// Leave removes a call, and gives the turn to the next one. isSent reports whether the call
// got a target.
func (p *Place) Leave(now time.Time, isSent bool) {
	b := p.backlog
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain.advance(now, true)
	q := &b.lines[line(p.waiter.urgency, p.isLate)]
	if b.next == p.waiter {
		q.pop()
	} else {
		q.remove(p.waiter)
	}
	if isSent {
		b.drain.sentCount++
		b.countSent(line(p.waiter.urgency, p.isLate))
	}
	b.updateNext()
}

// RecordSent records that a call was sent that did not wait.
func (b *Backlog) RecordSent(u profile.Urgency) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.len() > 0 {
		b.countSent(line(u, false))
		b.updateNext()
	}
}

// countSent counts a call of a line that was sent. b.mu must be held.
func (b *Backlog) countSent(sent int) {
	for i := range b.lines {
		b.passedOver[i]++
		if i == sent || b.lines[i].len() == 0 {
			b.passedOver[i] = 0
		}
	}
}

// HasBefore reports whether a new call would wait behind another one.
func (b *Backlog) HasBefore(u profile.Urgency, isLate bool) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	own := line(u, isLate)
	for i := range b.lines {
		if b.lines[i].len() > 0 && (i <= own || b.isDue(i)) {
			return true
		}
	}
	return false
}

// isDue reports whether a line goes before more urgent ones now. b.mu must be held.
func (b *Backlog) isDue(i int) bool {
	return i < int(profile.UrgencyCount) && b.passedOver[i] >= maxPassedOver && b.lines[i].len() > 0
}

// ExpectedWait estimates how long a new call waits for a target, by the rate at which
// waiting calls have recently been sent; zero if none has waited.
func (b *Backlog) ExpectedWait(now time.Time, c Caller, u profile.Urgency, isLate bool) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.drain.advance(now, b.len() > 0)
	ahead := 0
	for i := range line(u, isLate) {
		ahead += b.lines[i].len()
	}
	ahead += b.lines[line(u, isLate)].callsAhead(c)
	return b.drain.timeToSend(ahead + 1)
}

// len returns the number of waiting calls. b.mu must be held.
func (b *Backlog) len() (n int) {
	for i := range b.lines {
		n += b.lines[i].len()
	}
	return n
}

// updateNext gives the turn to the first call in the order of precedence. b.mu must be held.
func (b *Backlog) updateNext() {
	b.next = b.first()
	if b.next == nil {
		return
	}
	select {
	case b.next.turn <- struct{}{}:
	default:
	}
}

// first returns the first call in the order of precedence, or nil. b.mu must be held.
func (b *Backlog) first() *waiter {
	for i := range b.lines {
		if b.isDue(i) {
			return b.lines[i].front()
		}
	}
	for i := range b.lines {
		if w := b.lines[i].front(); w != nil {
			return w
		}
	}
	return nil
}
