package invariant

import "sync/atomic"

// Name is one promise.
type Name uint8

// The promises.
const (
	// ConfigNeverReverts: a configuration in force is never replaced by an
	// older one.
	ConfigNeverReverts Name = iota
	// ConfigSameEverywhere: nodes at the same offset hold the same configuration.
	ConfigSameEverywhere
	// SendOnce: a call that is not idempotent is written to a target at most once.
	SendOnce
	// ClaimSendsOnce: a granted claim is used for at most one send.
	ClaimSendsOnce
	// NotRunIsTrue: a call reported as not run was not written to a target, or
	// the target refused it before it started.
	NotRunIsTrue
	// NoWorkOutOfService: no attempt starts at a VM or zone out of service.
	NoWorkOutOfService
	// ColdWithinLimit: a target in cold start has at most its cold slots open.
	ColdWithinLimit
	// Names is the number of promises.
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

// String returns the promise's name in kebab case.
func (n Name) String() string {
	if n >= NameCount {
		return "invalid"
	}
	return names[n]
}

// Checks counts broken promises; a nil *Checks checks nothing and its zero
// value counts in silence.
type Checker struct {
	// Broken, if set, is called at each breach.
	OnViolation func(n Name)

	counts [NameCount]atomic.Int64
}

// Hold notes a breach unless ok, and returns ok.
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

// Count is how often a promise was broken.
func (c *Checker) Violations(n Name) int64 {
	if c == nil {
		return 0
	}
	return c.counts[n].Load()
}

// Total is how often any promise was broken.
func (c *Checker) TotalViolations() (total int64) {
	for n := range NameCount {
		total += c.Violations(n)
	}
	return total
}
