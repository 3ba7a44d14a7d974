// Package replica keeps a node's copy of keyed records of the platform's store:
// the newest record of each key, the offset up to which the store was read, and
// the time of that read.
//
// Records arrive from the store or from peers, in any order and more than once.
// A record never replaces one with a higher offset, whatever its source. Offsets
// count within an Epoch: a store that was restored from an older copy assigns them
// again. What that store lacks is carried over until it is written again, and an old
// record that it was restored with does not replace a newer one. The package is pure:
// it reads no clock and does no I/O.
package replica
