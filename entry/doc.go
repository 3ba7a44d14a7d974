// Package entry is the HTTP front end: it parses callers' requests, dispatches
// them to targets and writes the responses.
//
// Request and response bodies are streamed. A caller receives either the complete
// response to its own request or an aborted connection, never a truncated response
// that looks complete. Each response carries its outcome in headers; see
// docs/CALLERS.md.
package entry
