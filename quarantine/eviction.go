package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// evictedShare is the share of the cases that evict removes at a time, so that a caller with
// many harmful requests does not make each of them cost a look at all cases.
const evictedShare = 1.0 / 16

// evict removes some cases: first those with the lowest verdict, of these the ones whose last
// process ended first. Held requests stay as long as there are others. l.mu must be held.
func (l *Ledger) evict(now time.Time) {
	l.expire(now)
	if len(l.cases) < maxCases {
		return
	}
	ordered := slices.SortedFunc(maps.Values(l.cases), func(a, b *openCase) int {
		return cmp.Or(cmp.Compare(a.Verdict(), b.Verdict()), a.lastEndAt().Compare(b.lastEndAt()))
	})
	for _, c := range ordered[:int(evictedShare*maxCases)] {
		delete(l.cases, c.Digest)
	}
}

// expire removes the cases that can be forgotten. l.mu must be held.
func (l *Ledger) expire(now time.Time) {
	for d, c := range l.cases {
		if c.openCopies == 0 && now.Sub(c.changedAt) > c.retention() {
			delete(l.cases, d)
		}
	}
	l.count.Store(int64(len(l.cases)))
	for p, at := range l.refuted {
		if now.Sub(at) > suspicionRetention {
			delete(l.refuted, p)
		}
	}
}

// Expire removes the cases that can be forgotten. It should be called regularly.
func (l *Ledger) Expire(now time.Time) {
	if l.IsEmpty() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.expire(now)
}
