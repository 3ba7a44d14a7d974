// Package inventory holds a node's copy of what operators, targets and nodes have written to
// the platform's store: the plan, the zones out of service, the targets, the orders to roll
// out versions and the nodes of the fleet.
//
// It answers a store that is away, slow or restored from an older copy, and peers that pass on
// records in any order. A plan never replaces one with the same or a higher version. Targets
// whose records expired while the store was away are kept until they could have written
// again, and records of an earlier epoch of the store until their writers could have written
// them again. Digests of complete copies show whether a record was lost on the way.
//
// A State does no input or output other than logging; package gateway reads the store and
// exchanges records with peers.
package inventory
