// Package demo runs the Ghoshal deployment at its specified size in one process
// over loopback TCP. While callers send calls it withdraws and returns an
// availability zone, restarts targets without notice and replaces an entry node.
// It then compares the callers' records of every call with the calls that the
// targets recorded as started, and reports each violation of a guarantee.
package demo
