// Package capacity measures the slopes that docs/CAPACITY.md is worked out
// from. Each slope is fitted from at least three points, with its spread.
package capacity
