// Package invariant checks the system's promises inside the running program.
//
// A broken promise is counted, logged as a numbered event and, in tests, made
// fatal. In production the code that finds it refuses the call at hand; it
// never ends the process.
package invariant
