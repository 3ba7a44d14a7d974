// Package reply decides whether the bytes that a server sends are a response: whether a response
// that ends with its connection is complete.
//
// The package does no input or output.
package reply
