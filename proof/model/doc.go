// Package model holds small fake targets on the test's clock, and entry nodes
// made of the product's own decision code in front of them.
//
// A target has slots and a queue, lognormal service times, and moments in which
// it is slow. It can refuse when full, start cold, restart without a word, fail
// fast, lie and report late. A connection is bound to the target's instance, as
// real ones are: after a restart a node must probe before it may send. This is
// a model for decisions, not a simulator of a cluster: messages between a node
// and a target take a fixed time, and nothing else is modelled of the network.
package model
