// Package dispatch executes calls: it admits a call, chooses targets, makes
// attempts, hedges and retries within their budgets, and reports the outcome.
//
// It guarantees that an extra attempt (a retry or a hedge) is made only if no
// earlier attempt can have run (nothing was written, or the target refused the
// call before starting it) or if the profile is idempotent. It reports a call as
// not run only if no attempt of the call can have run.
//
// A call may pass through several layers of load balancers. Its allowance bounds
// the extra attempts of all layers together. Attempts at another target after a
// refusal or a failed connection do not count against it, because the earlier
// attempt cannot have run.
//
// I/O is behind the Sender interface, so the same code runs over TCP and, in
// simulations, over fake targets with a fake clock.
package dispatch
