package target

import (
	"time"
)

// A target may name on its responses how many requests a second it takes from all nodes
// together. The limit is in force until a response of the same process names none.

// LimitStatus tells whether a response names a rate limit.
type LimitStatus uint8

// The statuses of a rate limit on a response.
const (
	// LimitAbsent: the response names no limit.
	LimitAbsent LimitStatus = iota
	// LimitNamed: the response names a limit.
	LimitNamed
	// LimitUnreadable: the response names something that is no rate.
	LimitUnreadable
)

// RateLimit is what a response says about the requests that its target takes.
type RateLimit struct {
	Status LimitStatus
	// PerSecond is the number of requests a second, from all nodes together. It is
	// finite and not negative.
	PerSecond float64
	// Text is what an unreadable limit reads.
	Text string
}

// LimitSource is the kind of response on which a target named a limit.
type LimitSource string

// The sources of limits.
const (
	LimitFromCall      LimitSource = "call"
	LimitFromLoadQuery LimitSource = "load-query"
)

// LimitChange is a change of a target's rate limit as Settings.OnLimitChange receives it.
type LimitChange struct {
	Ref Ref
	// Limit is what the response says, and Previous what was in force before.
	Limit, Previous RateLimit
	Source          LimitSource
}

// limitState is what a node knows of a target's rate limit.
type limitState struct {
	// limit is in force if its status is LimitNamed.
	limit RateLimit
	// toldAt is when the response that was last applied was received.
	toldAt time.Time
	// hasLoggedUnreadable reports whether an unreadable limit was reported since the
	// last readable one.
	hasLoggedUnreadable bool
}

// inForce reports whether a limit is in force.
func (l *limitState) inForce() bool { return l.limit.Status == LimitNamed }

// applyLimit records what a response says about the target's rate limit. A response that
// was received before the last applied one is ignored, and an unreadable limit changes
// nothing. t.mu must be held.
func (t *Table) applyLimit(e *entry, r Report, source LimitSource) {
	l := &e.limit
	if r.ReceivedAt.IsZero() || r.ReceivedAt.Before(l.toldAt) || e.isReplaced(r.Instance) {
		return
	}
	change := LimitChange{Ref: e.ref, Limit: r.Limit, Previous: l.limit, Source: source}
	if r.Limit.Status == LimitUnreadable {
		if !l.hasLoggedUnreadable {
			t.notifyLimitChange(change)
		}
		l.hasLoggedUnreadable = true
		return
	}
	*l = limitState{limit: r.Limit, toldAt: r.ReceivedAt}
	if change.Limit != change.Previous {
		t.notifyLimitChange(change)
	}
}

// notifyLimitChange calls Settings.OnLimitChange, if set. t.mu must be held.
func (t *Table) notifyLimitChange(c LimitChange) {
	if t.settings.OnLimitChange != nil {
		t.settings.OnLimitChange(c)
	}
}
