// Package capacity measures how CPU time, heap and control traffic grow with the
// numbers of calls, nodes, targets, services and claims. docs/CAPACITY.md is
// derived from the results. Each slope is a least-squares fit of at least three
// points and is reported with the largest deviation of a point from the line.
package capacity
