package quarantine

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// maxCases bounds the number of cases that a ledger holds.
const maxCases = 4096

// Ledger holds the cases of a node. Its zero value is empty and ready to use; its
// methods are safe for concurrent use.
type Ledger struct {
	count atomic.Int64

	mu    sync.Mutex
	cases map[Digest]*openCase
	// refuted maps the processes that have responded after their supposed end to the time
	// of the response.
	refuted map[Process]time.Time
}

// openCase is a case with the copies of its request that this node has open.
type openCase struct {
	Case
	openCopies int
	// isShared reports whether the case was exchanged with other nodes.
	isShared bool
	// changedAt is when this node last learned something new.
	changedAt time.Time
}

// IsEmpty reports whether no request is suspected, so that digests need not be computed.
func (l *Ledger) IsEmpty() bool {
	return l.count.Load() == 0
}

// Admission states how a copy of a request may be sent.
type Admission struct {
	Verdict Verdict
	// IsTrial reports whether the copy is a trial of a held request.
	IsTrial bool
	// IsRefused reports whether the copy may not be sent now. RetryAfter is the time after
	// which one may be.
	IsRefused  bool
	RetryAfter time.Duration
}

// MayRepeat reports whether the call may be sent again after a process ended under it.
func (a Admission) MayRepeat() bool {
	return !a.IsTrial && a.Verdict < Suspected
}

const (
	// copyRetryAfter is the time after which a copy may come back that was refused because
	// another one is open.
	copyRetryAfter = time.Second
	// heldRetryAfter is the time after which a copy of a request may come back that is held
	// until an operator releases it.
	heldRetryAfter = 5 * time.Minute
)

// Admit decides on a copy that has just arrived. turn is the result of TrialTurn for the
// number of trials. Unless the copy is refused, Leave must be called when it has ended.
func (l *Ledger) Admit(d Digest, now time.Time, turn func(trialCount int) time.Duration) (a Admission) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cases[d]
	if c == nil {
		return Admission{}
	}
	a.Verdict = c.Verdict()
	switch a.Verdict {
	case Suspected:
		a.IsRefused, a.RetryAfter = c.openCopies > 0, copyRetryAfter
	case Held:
		remaining, hasTrial := c.untilTrial(now)
		a.IsTrial = hasTrial && c.openCopies == 0 && remaining+turn(c.TrialCount) <= 0
		a.IsRefused, a.RetryAfter = !a.IsTrial, heldRetryAfter
		if hasTrial {
			a.RetryAfter = max(remaining, copyRetryAfter)
		}
	}
	if a.IsRefused {
		return a
	}
	if a.IsTrial {
		c.TrialCount++
	}
	c.openCopies++
	return a
}

// Leave ends a copy that Admit has admitted.
func (l *Ledger) Leave(d Digest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.cases[d]; c != nil && c.openCopies > 0 {
		c.openCopies--
	}
}

// Verdict returns the current verdict on a request.
func (l *Ledger) Verdict(d Digest) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c := l.cases[d]; c != nil {
		return c.Verdict()
	}
	return Free
}

// Case returns the case of a request; ok is false if there is none.
func (l *Ledger) Case(d Digest) (c Case, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known := l.cases[d]
	if known == nil {
		return Case{}, false
	}
	return known.clone(), true
}

// RecordEnd records that a process ended while a copy of a request was open at it. If the
// other nodes need it at once, it returns the case to send to them: a first end is
// shared when its call has ended without a response, since most calls are completed elsewhere
// a moment later.
func (l *Ledger) RecordEnd(d Digest, e End) (news []Case) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cases[d]
	if c == nil {
		c = l.addCase(d, e.At)
	}
	if !c.merge(Case{Digest: d, Ends: []End{e}}, l.refuted, e.At) || !c.isShared && c.Verdict() < Suspected {
		return nil
	}
	c.isShared = true
	return []Case{c.clone()}
}

// Share returns the case of a request whose call has ended without a response, if it was not
// exchanged with other nodes.
func (l *Ledger) Share(d Digest) (news []Case) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cases[d]
	if c == nil || c.isShared || len(c.Ends) == 0 {
		return nil
	}
	c.isShared = true
	return []Case{c.clone()}
}

// RecordCompletion records that a copy of a request was completed. If that clears it and the
// other nodes have it, it returns the case to send to them.
func (l *Ledger) RecordCompletion(d Digest, now time.Time) (news []Case) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.cases[d]
	if c == nil || !c.complete() {
		return nil
	}
	c.changedAt = now
	if !c.isShared {
		return nil
	}
	return []Case{c.clone()}
}

// Release clears a request for an operator. It returns the case to send to the
// other nodes, or nothing if the request was not suspected.
func (l *Ledger) Release(d Digest, now time.Time) (news []Case) {
	return l.RecordCompletion(d, now)
}

// Merge adds the cases of another node, and returns the cases in which anything was new, and
// those in which the other node lacks what refutes its ends.
func (l *Ledger) Merge(cases []Case, now time.Time) (news, outdated []Case) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, received := range cases {
		c := l.cases[received.Digest]
		if c == nil {
			c = l.addCase(received.Digest, now)
		}
		c.isShared = true
		if c.merge(received, l.refuted, now) {
			news = append(news, c.clone())
		} else if c.refutes(received) {
			outdated = append(outdated, c.clone())
		}
	}
	return news, outdated
}

// merge adds the case of another node, and reports whether anything was new.
func (c *openCase) merge(received Case, refuted map[Process]time.Time, now time.Time) (hasNew bool) {
	for _, p := range received.Refuted {
		hasNew = c.refute(p) || hasNew
	}
	for _, e := range received.Ends {
		if _, isRefuted := refuted[e.Process]; isRefuted {
			continue
		}
		hasNew = c.addEnd(e) || hasNew
	}
	if received.TrialCount > c.TrialCount {
		c.TrialCount = received.TrialCount
		hasNew = true
	}
	if hasNew {
		c.changedAt = now
	}
	return hasNew
}

// refutes reports whether an end in a received case does not count.
func (c *openCase) refutes(received Case) bool {
	return slices.ContainsFunc(received.Ends, func(e End) bool { return slices.Contains(c.Refuted, e.Process) })
}

// addCase adds an empty case, in place of another one if there are too many. l.mu must be
// held.
func (l *Ledger) addCase(d Digest, now time.Time) *openCase {
	if l.cases == nil {
		l.cases = map[Digest]*openCase{}
	}
	if len(l.cases) >= maxCases {
		l.evict(now)
	}
	c := &openCase{Case: Case{Digest: d}, changedAt: now}
	l.cases[d] = c
	l.count.Store(int64(len(l.cases)))
	return c
}

// SharedCases returns the cases with ends that the other nodes need, those with the latest end
// first. What is cleared is not repeated: a node that lacks it gets it when it sends the ends.
func (l *Ledger) SharedCases() (cases []Case) {
	return l.casesWhere(func(c *openCase) bool { return c.isShared && len(c.Ends) > 0 })
}

// Cases returns all cases, those with the latest end first.
func (l *Ledger) Cases() (cases []Case) {
	return l.casesWhere(func(*openCase) bool { return true })
}

func (l *Ledger) casesWhere(include func(c *openCase) bool) (cases []Case) {
	if l.IsEmpty() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.cases {
		if include(c) {
			cases = append(cases, c.clone())
		}
	}
	sortCases(cases)
	return cases
}

// HeldCount returns the number of requests that are held.
func (l *Ledger) HeldCount() (n int) {
	if l.IsEmpty() {
		return 0
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.cases {
		if c.Verdict() == Held {
			n++
		}
	}
	return n
}
