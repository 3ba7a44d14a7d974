// Package drain divides the time of a planned stop: until when a node accepts calls, when it
// refuses those that wait, when it gives up open attempts and when it cuts off calls.
package drain
