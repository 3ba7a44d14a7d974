// Package routing implements the algorithms that choose one target among
// candidates.
//
// A Chooser, except Oracle, uses only information local to one node: the node's own
// open attempts at each target, and estimates and forecasts derived from the load
// reports in responses. Choosers do no I/O and allocate nothing; docs/design/routing.md
// compares them.
package routing
