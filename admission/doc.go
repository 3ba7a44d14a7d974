// Package admission bounds what one node holds and decides who waits, who goes
// next and who is refused.
//
// A Gate belongs to a service: calls beyond its limit of open attempts wait in
// a bounded queue, where callers take turns so that a noisy one delays only
// itself. The limit follows what the targets can really take: it shrinks when
// they refuse and grows when calls at the limit are answered. A Pool belongs to
// the node and bounds all gates together: when it is full, the least urgent
// waiting call gives way. Each service keeps a reserve of the pool that others
// cannot take, so that patient work is never starved.
package admission
