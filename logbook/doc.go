// Package logbook analyses the log lines of entry nodes. It extracts the lines of
// one request, and reconstructs the state of each node at a given time.
//
// It reads each file once, in memory that does not grow with the number of lines,
// and skips malformed lines.
package logbook
