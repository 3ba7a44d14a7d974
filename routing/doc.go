// Package routing implements the algorithms that choose one target among
// candidates.
//
// A Chooser uses only information local to one node: the node's own open attempts
// at each target, and an estimate of the attempts of other nodes, derived from
// the load reports in responses. Choosers do no I/O and allocate nothing;
// docs/design/routing.md compares them.
package routing
