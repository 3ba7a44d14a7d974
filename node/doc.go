// Package node assembles one entry node: the aggregates that decide, the
// adapters that speak, and the loops that keep them going.
package node
