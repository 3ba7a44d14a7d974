// Package retry bounds further attempts.
//
// Two bounds hold together. A Budget belongs to a service in one node: it earns
// a fraction of a token per call, never per attempt, so that attempts cannot
// pay for more attempts. An Allowance belongs to one call and travels down its
// chain: what a layer below may spend is taken from it, and what it did not
// spend comes back on the answer.
package retry
