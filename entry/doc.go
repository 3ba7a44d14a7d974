// Package entry takes callers' HTTP requests and answers them.
//
// Bodies stream both ways. A caller gets the whole answer to its own request or
// an aborted connection, never a short answer that looks complete. Each answer
// carries its outcome in headers; see docs/CALLERS.md.
package entry
