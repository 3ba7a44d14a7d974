package invariant

import "sync/atomic"

// Name identifies an invariant.
type Name uint8

// The invariants.
const (
	// ConfigNeverReverts: an active configuration is never replaced by an older
	// one.
	ConfigNeverReverts Name = iota
	// ConfigSameEverywhere: nodes at the same log offset have the same
	// configuration.
	ConfigSameEverywhere
	// SendOnce: a call that is not idempotent is written to a target at most once,
	// not counting attempts that a target refused before starting them.
	SendOnce
	// ClaimSendsOnce: a granted claim is used for at most one send, not counting
	// attempts that certainly did not run.
	ClaimSendsOnce
	// NotRunIsTrue: a call reported as not run was never written to a target, or
	// the target refused it before starting it.
	NotRunIsTrue
	// NoWorkOutOfService: no attempt starts at a VM or in a zone that is out of
	// service.
	NoWorkOutOfService
	// ColdWithinLimit: the open attempts at a target in cold start never exceed
	// its cold slots.
	ColdWithinLimit
	// NameCount is the number of invariants.
	NameCount
)

var names = [NameCount]string{
	"config-never-reverts",
	"config-same-everywhere",
	"send-once",
	"claim-sends-once",
	"not-run-is-true",
	"no-work-out-of-service",
	"cold-within-limit",
}

// String returns the invariant's name in kebab case, or "invalid".
func (n Name) String() string {
	if n >= NameCount {
		return "invalid"
	}
	return names[n]
}

// Checker counts violations of invariants. A nil *Checker counts nothing. A
// Checker is safe for concurrent use; OnViolation must be set before its first use.
type Checker struct {
	// OnViolation, if set, is called on each violation.
	OnViolation func(n Name)

	counts [NameCount]atomic.Int64
}

// Check records a violation of n if ok is false, and returns ok.
func (c *Checker) Check(ok bool, n Name) bool {
	if ok || c == nil {
		return ok
	}
	c.counts[n].Add(1)
	if c.OnViolation != nil {
		c.OnViolation(n)
	}
	return false
}

// Violations returns the number of violations of n.
func (c *Checker) Violations(n Name) int64 {
	if c == nil {
		return 0
	}
	return c.counts[n].Load()
}

// TotalViolations returns the number of violations of all invariants.
func (c *Checker) TotalViolations() (total int64) {
	for n := range NameCount {
		total += c.Violations(n)
	}
	return total
}
