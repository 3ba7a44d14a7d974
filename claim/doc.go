// Package claim lets a keyed call be sent at most once by all nodes together.
//
// A claim is a record in the stream "claims" of the platform's log. Whichever
// claim on a key stands first in the stream may be used for one send, once,
// until the key's window has passed by the log's clock. There is no lease and
// no fence: a holder that pauses and goes on later still holds the only claim.
// The price is that a holder that dies between its claim and its answer leaves
// the key's outcome unknown. docs/design/at-most-once.md weighs the other ways.
//
// Book folds the stream and depends on the records alone. Claimer appends the
// node's claims in batches and tells each call what became of its claim. An
// append is never repeated: a lost acknowledgement is resolved by reading.
package claim
