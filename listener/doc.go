// Package listener provides ports that stop without cutting off a request.
//
// A Listener accepts the connections that wait to be accepted before it closes: if it
// closed at once, the system would reset them, although their callers may have sent
// requests already. A Server answers every request that it has read before it stops.
package listener
