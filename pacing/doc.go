// Package pacing sets when a node of a fleet calls the platform's store.
//
// Nodes do not elect a reader. Each decides by the age of what it has received and by a random
// delay, so that few call the store at a time, whatever the size of the fleet, and the sums of
// all delays stay within the bounds of changes and of recovery. The package is pure: it reads
// no clock and does no I/O.
package pacing
