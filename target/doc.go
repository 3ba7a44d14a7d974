// Package target holds what one node believes of the targets of a service, and
// the rules by which it comes to believe it.
//
// Evidence counts in this order: calls served now, the load that answers carry,
// probes, peers' words, the platform's list. A Table is a state machine: it is
// told of attempts, answers, words and lists with the instant they came at, and
// says which target takes the next attempt. It does no I/O.
//
// A target is known by its instance, the name its process gives itself. A new
// instance on an old address is another process: it is taken for cold until it
// says otherwise, and reports that name an older instance are passed over.
package target
