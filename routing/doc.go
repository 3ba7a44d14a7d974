// Package routing holds methods that choose one target among candidates.
//
// A method sees only what one node knows: its own open attempts at each target,
// and an estimate of what other nodes have open there, taken from the load that
// answers carry. Methods are pure and allocate nothing; docs/design/routing.md
// says how they compare.
package routing
