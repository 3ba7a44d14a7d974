// Package outcome names what became of a call, and why.
//
// Every answer carries one of three outcomes. Done: the target answered whole.
// NotRun: it is certain that no target started the call. Unknown: the call was
// sent and its answer was lost, so it may have run.
package outcome
