// Package codec encodes and decodes the CBOR form of log records and of messages
// between nodes. Encoding is deterministic, and decoding limits nesting depth and
// the number of elements.
package codec
