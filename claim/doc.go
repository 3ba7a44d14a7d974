// Package claim ensures that all nodes together send a call with an idempotency
// key at most once.
//
// A claim is a record in the log stream "claims". The first claim on a key, in
// stream order, is granted. It may be used for a single send until the key's
// window ends by the log's clock. Claims are neither leased nor fenced: a
// holder that pauses and resumes still holds the only claim on the key. The
// cost is that a holder that crashes between its claim and the response leaves
// the outcome of the key unknown. docs/design/at-most-once.md compares the
// alternatives.
//
// State applies the records of the stream and depends on nothing else. Claimer
// appends the node's claims in batches and passes each decision to its call. A
// claim is appended only once: a lost acknowledgement is resolved by reading
// the stream.
package claim
