package target

import (
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// A target may say on any response that it is about to stop, and on a refusal for how
// long it wants no further request from this node. Both hold for the process that said
// so: they end when the list or a report shows another one.

// applyNotices records what a response says about further requests. t.mu must be held.
func (t *Table) applyNotices(e *entry, now time.Time, r Report) {
	if e.isReplaced(r.Instance) {
		return
	}
	t.reportUnknownHeaders(e, r)
	if r.IsLeaving && !e.saidLeaving {
		e.saidLeaving = true
		t.notifyChange(e, TargetLeaving)
	}
	if r.RetryAfter <= 0 {
		return
	}
	if until := t.toTick(now) + tick(r.RetryAfter); until > e.backOffUntil {
		e.backOffUntil = until
		t.notifyChange(e, TargetBackedOff)
	}
}

// maxUnknownHeaders bounds the unknown headers that are reported.
const maxUnknownHeaders = 32

// reportUnknownHeaders calls Settings.OnUnknownHeader for headers that were not seen
// before. t.mu must be held.
func (t *Table) reportUnknownHeaders(e *entry, r Report) {
	for _, name := range r.UnknownHeaders {
		if t.unknownHeaders[name] || len(t.unknownHeaders) >= maxUnknownHeaders || t.settings.OnUnknownHeader == nil {
			continue
		}
		if t.unknownHeaders == nil {
			t.unknownHeaders = map[string]bool{}
		}
		t.unknownHeaders[name] = true
		t.settings.OnUnknownHeader(e.ref, name)
	}
}

// IsLeaving reports whether a target, or the list for it, has announced its planned stop.
func (t *Table) IsLeaving(id vm.ID) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(id)
	return e != nil && (e.listedLeaving || e.saidLeaving || e.state == Draining || e.state == Leaving)
}

// clearNotices forgets what the target's former process said about further requests.
func (e *entry) clearNotices() {
	e.saidLeaving = false
	e.backOffUntil = 0
	e.limit = limitState{}
}

// BackOffRemaining returns the shortest time until a target that accepts work may get
// requests again, after it asked for a time without; zero if there is none that waits.
func (t *Table) BackOffRemaining(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	nowTick, shortest := t.toTick(now), tick(0)
	for _, e := range t.entries {
		if !e.acceptsWork() || nowTick < e.ejectedUntil || nowTick >= e.backOffUntil {
			continue
		}
		if remaining := e.backOffUntil - nowTick; shortest == 0 || remaining < shortest {
			shortest = remaining
		}
	}
	return time.Duration(shortest)
}
