// Package wire manages HTTP connections to targets.
//
// Each connection has its own http.Transport, which can dial only once. net/http
// therefore cannot resend a request over another connection: a request is written
// to the connection chosen for it, or not at all. The connection counts the bytes
// written, which shows whether any part of a request may have been sent.
//
// A new connection carries calls only after a probe over the same connection has
// reported the target's instance and state. Later calls on it can reach only that
// process, because a connection does not outlive the process that accepted it.
//
// Data belongs to a response only if it arrives while a request is open. A target may send a
// response twice: data at any other time ends the connection before the next request, and
// Protocol.IDHeader identifies a copy that arrives during that request. Package replyconn, below the
// transport, ends a connection on which the target sends bytes that are no response.
package wire
