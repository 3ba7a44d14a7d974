// Package grants keeps the calls of each tenant within its quota, over all nodes of a fleet
// of which each sees a hundredth of the traffic.
//
// One node owns a tenant's token bucket, by rendezvous hashing; the others ask it for calls
// by datagrams when one arrives, and use what they were granted for GrantLifetime. A node
// that reaches no owner admits nothing, so the sum does not depend on who is cut off.
//
// In any window w, the calls sent are at most PerSecond × (w + GrantLifetime + the longest
// wait in a node) + Burst, and a deputy's share: deputyShare of it while the owner may be
// alive. A deputy takes over whole after takeoverDelay of the owner's silence.
package grants
