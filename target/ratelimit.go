package target

import (
	"time"

	"github.com/apricotmount/apricotmount/quota"
	"github.com/apricotmount/apricotmount/vm"
)

// A target may name on its responses how many requests a second it takes from all nodes
// together. The limit is in force until a response of the same process names none. Nodes
// tell each other of limits, so that most keep to one before the target tells them.

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
	PerSecond quota.Rate
	// Text is what an unreadable limit reads.
	Text string
}

// LimitSource is the kind of response on which a target named a limit.
type LimitSource string

// The sources of limits.
const (
	LimitFromCall      LimitSource = "call"
	LimitFromLoadQuery LimitSource = "load-query"
	LimitFromPeer      LimitSource = "peer"
	// LimitExpired: no response has named the limit for a long time.
	LimitExpired LimitSource = "expired"
)

// LimitChange is a change of a target's rate limit as Settings.OnLimitChange receives it.
type LimitChange struct {
	Ref Ref
	// Limit is what the response says, and Previous what was in force before.
	Limit, Previous RateLimit
	Source          LimitSource
	// Incarnation is that of the target's process; zero if unknown.
	Incarnation int64
	// OnLoadQueries reports whether responses to load queries name the limit too.
	OnLoadQueries bool
	// ToldAt is when the response was received.
	ToldAt time.Time
}

// limitState is what a node knows of a target's rate limit.
type limitState struct {
	// limit is in force if its status is LimitNamed.
	limit RateLimit
	// toldAt is when the response that was last applied was received.
	toldAt time.Time
	// onLoadQueries reports whether a response to a load query has named a limit. If
	// none has, such a response without a limit says nothing about it.
	onLoadQueries bool
	// hasLoggedUnreadable reports whether an unreadable limit was reported since the
	// last readable one.
	hasLoggedUnreadable bool
	// notified is the limit that was last passed to Settings.OnLimitChange, and notifiedAt
	// the time of the response that named it; zero if none was.
	notified   RateLimit
	notifiedAt time.Time
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
	if source == LimitFromLoadQuery && r.Limit.Status == LimitAbsent && !l.onLoadQueries {
		return
	}
	if r.Limit.Status == LimitUnreadable {
		if !l.hasLoggedUnreadable {
			t.notifyLimitChange(LimitChange{Ref: e.ref, Limit: r.Limit, Previous: l.limit, Source: source})
		}
		l.hasLoggedUnreadable = true
		return
	}
	onLoadQueries := l.onLoadQueries || source == LimitFromLoadQuery
	t.setLimit(e, limitState{limit: r.Limit, toldAt: r.ReceivedAt, onLoadQueries: onLoadQueries}, source)
}

// minLimitNoticeInterval is the shortest time between two calls of Settings.OnLimitChange
// for one target: a target may name another limit on each response.
const minLimitNoticeInterval = 250 * time.Millisecond

// setLimit replaces what is known of a target's rate limit. t.mu must be held.
func (t *Table) setLimit(e *entry, l limitState, source LimitSource) {
	l.notified, l.notifiedAt = e.limit.notified, e.limit.notifiedAt
	if l.limit != l.notified && l.toldAt.Sub(l.notifiedAt) >= minLimitNoticeInterval {
		t.notifyLimitChange(LimitChange{Ref: e.ref, Limit: l.limit, Previous: l.notified, Source: source, Incarnation: e.incarnation, OnLoadQueries: l.onLoadQueries, ToldAt: l.toldAt})
		l.notified, l.notifiedAt = l.limit, l.toldAt
	}
	e.limit = l
}

// Limits returns the rate limits in force.
func (t *Table) Limits() (limits []LimitChange) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range t.entries {
		if l := &e.limit; l.inForce() {
			limits = append(limits, LimitChange{Ref: e.ref, Limit: l.limit, Incarnation: e.incarnation, OnLoadQueries: l.onLoadQueries, ToldAt: l.toldAt})
		}
	}
	return limits
}

// maxPeerDelay bounds how long a peer's word may have been on its way: a link without
// messages for so long is closed.
const maxPeerDelay = 2400 * time.Millisecond

// PeerLimit is the rate limit that a target named to a peer, or its end.
type PeerLimit struct {
	ID            vm.ID
	Limit         RateLimit
	Incarnation   int64
	OnLoadQueries bool
	ToldAt        time.Time
}

// RecordPeerLimit records what a target told a peer. It is ignored for another process
// than the listed one, and if this node heard the target itself so recently that the
// peer's word may be older. It reports whether the target is known.
func (t *Table) RecordPeerLimit(p PeerLimit) (isKnown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.find(p.ID)
	if e == nil {
		return false
	}
	if p.Incarnation != e.incarnation || p.ToldAt.Add(-maxPeerDelay).Before(e.limit.toldAt) {
		return true
	}
	t.setLimit(e, limitState{limit: p.Limit, toldAt: p.ToldAt, onLoadQueries: p.OnLoadQueries || e.limit.onLoadQueries}, LimitFromPeer)
	return true
}

// limitExpiry is the age of the last word about a limit from which it is no longer in
// force: the target has answered no node that this one knows of.
const limitExpiry = time.Minute

// expireLimit ends a limit that was named too long ago. t.mu must be held.
func (t *Table) expireLimit(e *entry, now time.Time) {
	if e.limit.inForce() && now.Sub(e.limit.toldAt) > limitExpiry {
		t.setLimit(e, limitState{toldAt: now}, LimitExpired)
	}
}

// limitRecheckInterval is the age of the last word about a limit from which a node without
// a turn queries the target again. Without it, a node that may not send to the target
// would never learn that the limit has ended.
const limitRecheckInterval = time.Second

// isHeldBack reports whether a rate limit keeps this node from sending a call to a target
// now. Hedges are never sent to such a target, since it has more calls than it wants.
// t.mu must be held.
func (t *Table) isHeldBack(e *entry, now time.Time, opts PickOptions) bool {
	if !e.limit.inForce() {
		return false
	}
	if opts.RequireFreeSlot || opts.AvoidLimited {
		return true
	}
	wait, ok := t.settings.Quota.Wait(e.ref.ID, e.limit.limit.PerSecond, now)
	return !ok || wait > 0
}

// takeTurn counts a call to a target against its rate limit, and reports whether it may be
// sent. t.mu must be held.
func (t *Table) takeTurn(e *entry, now time.Time) bool {
	return t.settings.Quota.Take(e.ref.ID, e.limit.limit.PerSecond, now)
}

// Turn is when a node may send a call to targets with a rate limit, and why.
type Turn struct {
	// IsSender reports whether the node may send to any of the targets at all.
	IsSender bool
	// Wait is the time until the turn. Without one, it is the time in which the limits
	// leave capacity for one call of each node, on average.
	Wait time.Duration
	// TargetCount is the number of targets with a limit, Rate the sum of their limits and
	// OldestLimitAge the time since the one that was named longest ago.
	TargetCount    int
	Rate           quota.Rate
	OldestLimitAge time.Duration
}

// maxTurnWait bounds Turn.Wait: a limit near zero may change soon.
const maxTurnWait = 10 * time.Second

// NextTurn returns the node's next turn at a target with a rate limit, if callsAhead other
// calls go first.
func (t *Table) NextTurn(now time.Time, callsAhead int) (turn Turn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	ownRate := quota.Rate(0)
	for _, e := range t.entries {
		if !e.limit.inForce() || !e.acceptsWork() || t.toTick(now) < max(e.ejectedUntil, e.backOffUntil) {
			continue
		}
		rate := e.limit.limit.PerSecond
		turn.TargetCount++
		turn.Rate += rate
		turn.OldestLimitAge = max(turn.OldestLimitAge, now.Sub(e.limit.toldAt))
		wait, isSender := t.settings.Quota.Wait(e.ref.ID, rate, now)
		if !isSender {
			continue
		}
		if !turn.IsSender || wait < turn.Wait {
			turn.IsSender, turn.Wait = true, wait
		}
		ownRate += quota.Rate(1 / t.settings.Quota.Interval(rate).Seconds())
	}
	if turn.IsSender {
		turn.Wait += ownRate.Duration(callsAhead)
	} else {
		turn.Wait = turn.Rate.Duration((callsAhead + 1) * t.settings.Quota.FleetSize())
	}
	turn.Wait = min(turn.Wait, maxTurnWait)
	return turn
}

// notifyLimitChange calls Settings.OnLimitChange, if set. t.mu must be held.
func (t *Table) notifyLimitChange(c LimitChange) {
	if t.settings.OnLimitChange != nil {
		t.settings.OnLimitChange(c)
	}
}
