// Package grants keeps the calls of each tenant within its quota, over all nodes of a fleet
// of which each sees a hundredth of the traffic.
//
// One node owns a tenant's token bucket, by rendezvous hashing; the others ask it for calls
// by datagrams when one arrives, and use what they were granted for GrantLifetime. A node
// that reaches no owner admits nothing, so the sum does not depend on who is cut off.
//
// In any window w, the calls sent are at most PerSecond × (w + GrantLifetime + the longest
// wait in a node) + Burst, and deputyShare of it for each of two deputies, as long as the
// nodes before them may be alive. A deputy grants the whole quota after takeoverDelay of
// their silence.
package grants
