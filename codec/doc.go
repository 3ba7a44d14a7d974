// Package codec holds the one CBOR encoding that the system's own records and
// messages use: deterministic on the way out, bounded on the way in.
package codec
