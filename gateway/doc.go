// Package gateway implements an entry node that takes its configuration from a
// keyed store: the operator's plan, the zones out of service and one record for
// each target, written by the target.
//
// Normally one node reads the store. It forwards new records to the other nodes over
// peer links, together with marks: the offset up to which it has read, and when. A
// node merges the records of the store and of its peers; a plan never replaces one
// with the same or a higher version. A node is ready once it has a plan and complete
// copies of the records (package inventory); a second after its first mark the plan suffices.
// It keeps serving from its copies while the store is unreachable. Calls are handled
// by packages entry, dispatch, target and admission.
package gateway
