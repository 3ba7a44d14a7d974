// Package pause implements delays between the iterations of a loop.
package pause
