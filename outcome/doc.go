// Package outcome defines the outcomes of calls and the reasons for them.
//
// Every response to a caller carries one of three outcomes. Done: the target
// sent a complete response. NotRun: it is certain that no target started the
// call. Unknown: the call was sent and its response was lost, so the call may
// have run.
package outcome
