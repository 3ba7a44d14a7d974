// Package streamtest contains the conformance tests that every implementation of
// stream.Log must pass.
package streamtest
