// Package target holds the state that one node keeps of the targets of a
// service, and chooses the target of each attempt.
//
// A Table is a state machine without I/O. Its inputs are attempts and how they
// end, load reports from targets, observations from peers and the platform's
// list, each with the time at which it was received. Sources of evidence,
// strongest first, are: results of the node's own calls, load reports on
// responses, probes, observations from peers, the platform's list.
//
// A process of a target is identified by its instance, a name that the process
// chooses itself. A new instance at a known address is a new process: it is in
// cold start until it reports otherwise, and reports from replaced instances
// are ignored.
package target
