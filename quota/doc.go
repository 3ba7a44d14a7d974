// Package quota divides among the nodes of a fleet the calls a second that one target
// takes from all of them.
//
// For each target only a few nodes send: those with the lowest hash of node and target.
// They need no agreement and send no messages to each other, each sends at even
// intervals, and nodes with different views of the fleet add few senders. A node that
// knows only a part of the fleet estimates its place among the rest.
package quota
