// Package reply decides whether the bytes that a client receives are a response of its server: their
// syntax, the framing of the body, and whether a response that ends with its connection is complete.
//
// Scanner accepts what RFC 9112 allows a server to send, and nothing else. Where the RFC leaves the
// choice to the recipient, it rejects what has more than one reading (continued lines, two framings,
// HTTP/1.0 with a transfer coding, blanks around names) and accepts what has one (line ends without CR
// in a head, the same length twice, no reason phrase). A status over 599 states nothing about the
// request; it is rejected too.
//
// The package does no input or output.
package reply
