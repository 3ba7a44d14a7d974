// Package codec encodes and decodes the CBOR form of the system's own
// records and messages. Encoding is deterministic, and decoding limits nesting
// depth and the number of elements.
package codec
