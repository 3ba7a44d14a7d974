// Package claim ensures that all nodes together send a call with an idempotency
// key at most once.
//
// Claims are requested by records of the log stream "claims". The first request
// for a key, in stream order, is granted. The grant holds the key until its
// window ends by the log's clock, and allows a single send. Claims are neither
// leased nor fenced: a holder that pauses and resumes still holds the only claim
// on the key. The cost is that a holder that crashes between its claim and the
// response leaves the outcome of the key unknown. docs/design/at-most-once.md
// compares the alternatives.
//
// State applies the records of the stream; its content depends on them alone.
// Claimer appends the node's requests in batches and passes each decision to
// its call. A request is appended only once: a lost acknowledgement is resolved
// by reading the stream.
package claim
