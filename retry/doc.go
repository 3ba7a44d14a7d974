// Package retry limits extra attempts: retries and hedges.
//
// Two limits apply together. A Budget is a token bucket of one service in one
// node. It is filled by a fraction of a token per call, never per attempt, so
// that extra attempts cannot fund more of them. An Allowance belongs to one
// call and is passed down its call chain: an attempt passes part of it to the
// layer below, and the response states how much of that part was spent.
package retry
