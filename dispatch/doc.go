// Package dispatch carries one call to an answer: it admits the call, chooses
// targets, makes attempts, hedges and retries within their budgets, and says
// truthfully what became of the call.
//
// The rules it never breaks: a further attempt is made only where nothing can
// have run (nothing was written, or the target refused before it started) or
// where the profile is idempotent; a call is reported as not run only if the
// same holds for each of its attempts. Input and output stand behind Sender, so
// the same code runs over TCP and, in measurements, over fakes on a paused
// clock.
package dispatch
