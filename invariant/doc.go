// Package invariant checks the system's invariants at run time.
//
// A violation is counted, logged as a numbered event and, in tests, made fatal.
// In production it never terminates the process; code that detects a violation
// before an unsafe step does not take the step.
package invariant
