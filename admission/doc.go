// Package admission bounds the calls that one node holds, and decides which
// calls wait, in which order they are admitted and which are refused.
//
// A Gate belongs to one service. It limits the number of calls in flight; calls
// beyond the limit wait in a bounded queue that serves callers round robin, so
// that a caller with many calls delays only its own. The limit adapts to the
// capacity of the targets: it decreases when they refuse attempts and increases
// when calls at the limit get complete responses.
//
// A Backlog takes the place of the gate's queue for a service whose targets are queried
// right before each choice. It answers a load beyond the capacity of the targets: a burst,
// a zone that is out of service or cold, or callers that all return after an outage. Then
// few slots become free, each is offered to one call at a time, and what cannot be served
// within its objective is refused on arrival.
//
// A Pool belongs to the node and bounds the calls of all gates together. When
// it is full, a new call can displace a less urgent waiting call. Each gate has
// a reserve in the pool, so that patient calls are not starved: while a gate
// holds no more than its reserve, its calls are not displaced, and a new call
// can displace a waiting call of any urgency from a gate beyond its reserve.
package admission
