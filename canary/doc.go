// Package canary runs a node's part in the roll-outs of its fleet: it exchanges phases and
// samples with peers, and writes the results to the store.
//
// Every node stops a roll-out by itself once the samples show a bad version. The node that
// reads the operator topic decides about the move and writes the result. Two nodes may
// take this role at a time, after a pause or while links are cut; the store accepts a
// result only at the end of the status topic that its writer has read, so that the first
// result of an order is the only one.
package canary
