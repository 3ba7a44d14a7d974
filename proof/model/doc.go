// Package model simulates targets on the fake clock of a test (synctest), and
// entry nodes that run the load balancer's own routing, admission and retry code
// in front of them.
//
// A target has a fixed number of slots, a queue, lognormal service times and
// random periods of slow service. It can refuse calls when full, start cold,
// restart without notice, fail immediately, misreport its load and report stale
// load. A connection belongs to one instance of the target, as in production:
// after a restart a node must probe the target before it may send.
//
// The model tests decisions only; it does not simulate a whole cluster. Each
// message between a node and a target takes a fixed time, and no other property
// of the network is modelled.
package model
