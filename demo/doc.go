// Package demo runs the Ghoshal deployment at its written size in one process
// over loopback TCP, breaks it while calls flow, and counts what came of every
// call from the targets' own ledgers against the callers' own.
package demo
