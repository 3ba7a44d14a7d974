// Package listener provides a network listener that accepts the connections that wait to
// be accepted before it closes. A listener that closes at once makes the system reset
// them, although their callers may have sent requests already.
package listener
