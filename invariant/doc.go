// Package invariant checks the system's invariants at run time.
//
// A violation is counted, logged as a numbered event and, in tests, made fatal.
// In production the code that detects a violation refuses the current call; it
// never terminates the process.
package invariant
