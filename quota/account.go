package quota

import (
	"math"
	"time"
)

const (
	// GrantLifetime is how long a node may use granted calls. Calls that are granted in one
	// window and sent in the next add to the latter's sum.
	GrantLifetime = 250 * time.Millisecond
	// maxGrant is the number of calls that a node asks for at once.
	maxGrant = 64
	// cautiousDivisor divides the expected calls: what is not used in time is missing
	// elsewhere until it is given back.
	cautiousDivisor = 8
	// demandWeight is the weight of one interval between calls in the average.
	demandWeight = 0.2
	// maxDenial is the longest time for which an account refuses calls by itself after a
	// refusal of the owner.
	maxDenial = 100 * time.Millisecond
)

// Account holds the calls of one tenant that were granted to this node. The zero value is
// empty and ready to use.
type Account struct {
	granted   int
	expiresAt time.Time
	// interval is the average time between two calls, in seconds.
	interval    float64
	lastCallAt  time.Time
	deniedUntil time.Time
	// denial is the end of the wait that the owner named.
	denial time.Time
}

// Take takes one granted call.
func (a *Account) Take(now time.Time) bool {
	if a.granted <= 0 || !now.Before(a.expiresAt) {
		return false
	}
	a.granted--
	return true
}

// RecordCall records that a call has arrived, and returns how many calls to ask for if none
// is granted: a part of those that arrive within GrantLifetime.
func (a *Account) RecordCall(now time.Time) (want int) {
	if !a.lastCallAt.IsZero() {
		a.interval += demandWeight * (now.Sub(a.lastCallAt).Seconds() - a.interval)
	} else {
		a.interval = GrantLifetime.Seconds()
	}
	a.lastCallAt = now
	expected := GrantLifetime.Seconds() / max(a.interval, 1e-6)
	return int(min(max(1, math.Floor(expected/cautiousDivisor)), maxGrant))
}

// TakeUnused returns the number of granted calls that were not used in time, once, for the
// owner to grant them again.
func (a *Account) TakeUnused(now time.Time) (n int) {
	if a.granted <= 0 || now.Before(a.expiresAt) {
		return 0
	}
	n, a.granted = a.granted, 0
	return n
}

// Add adds granted calls.
func (a *Account) Add(n int, now time.Time) {
	if !now.Before(a.expiresAt) {
		a.granted = 0
	}
	a.granted += n
	a.expiresAt = now.Add(GrantLifetime)
}

// Return gives back the grant of a call that was not run.
func (a *Account) Return(now time.Time) {
	if now.Before(a.expiresAt) {
		a.granted++
	}
}

// Deny records a refusal of the owner.
func (a *Account) Deny(wait time.Duration, now time.Time) {
	a.denial = now.Add(wait)
	a.deniedUntil = now.Add(min(wait, maxDenial))
}

// IsDenied reports whether the account refuses a call by itself, and for how long.
func (a *Account) IsDenied(now time.Time) (wait time.Duration, isDenied bool) {
	return a.denial.Sub(now), now.Before(a.deniedUntil)
}
