// Package suspects exchanges the evidence of a quarantine between the nodes of a fleet.
//
// What is new at a node is sent over all its links at once and passed on by each node to
// which it is new. A new link gets everything, so that a node that starts or was cut off
// has the evidence of the others as soon as it is linked.
package suspects
