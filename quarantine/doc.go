// Package quarantine finds requests that end the process of each target that runs
// them, and decides which copies of such a request may still be sent.
//
// When a target's process ends, every request that was open at it is a suspect. What
// separates the harmful one from its neighbours is what happens elsewhere: a neighbour
// completes at another target and is cleared by that, while the harmful one never
// completes and ends one process after the other. Evidence of all nodes is merged, so
// that the copies that reach different nodes count together.
//
// Package quarantine does no input or output; it takes the current time as an argument.
package quarantine
