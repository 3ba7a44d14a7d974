// Package operator is the HTTP API by which operators publish, withdraw and
// look, and its client. See docs/OPERATIONS.md.
package operator
