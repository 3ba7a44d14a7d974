// Package rollout decides about the roll-out of a new version of a service's targets
// beside the old ones: which targets calls may use, when a version is bad, and when the
// move to it begins. It does no input or output and reads no clock.
//
// The load and the faults that it answers: each of hundreds of nodes has a few calls a
// second, so that no node can judge a version by its own calls. A bad version fails a part
// of its calls or is several times slower, at once or later, on one route, or only while
// its targets are full. At the same time targets of both versions crash, slow down or are
// cut off, and nodes stop, pause and restart.
//
// Each node sends the same small share of its calls to the new version, so that the sum
// over the fleet is that share of all calls, whatever the views of the nodes. The calls of
// one second go to the same three targets, which are full at times. Each of them is paired
// with a call to the old version on the same route; nodes exchange both as samples, and
// every node judges the version by all samples that it has received. Phases are merged by
// their order: a later phase replaces an earlier one, so that a stop wins over a move, and
// the result in the store over both.
package rollout
