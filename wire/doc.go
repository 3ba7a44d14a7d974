// Package wire keeps connections to targets.
//
// Each connection has an http.Transport of its own that can dial only once, so
// the library has nothing to replay a request on: a request is written to the
// connection it was given, or not at all. The connection counts the bytes that
// went out, which is the proof that nothing was written.
//
// A new connection carries work only after a probe over that same connection
// has named the target's instance and state. Work sent over it later can reach
// only that process: a connection does not outlive the process it was made to.
package wire
