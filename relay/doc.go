// Package relay sends calls through another node of the fleet while this node has no path
// to their targets, and serves the calls that other nodes send.
//
// To the sending node, the other nodes are targets: it chooses one, tries another if that
// refuses before the call has started, and never sends a call that is not idempotent
// twice. The receiving node does everything else, as for a call of its own callers:
// admission, choice of a target, retries, hedges. It never passes a call on again. A node
// refuses calls while it has no path itself, and keeps the calls of other nodes to a part
// of what it holds.
package relay
