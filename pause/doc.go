// Package pause waits between the steps of a loop.
package pause
