// Package streamtest holds the tests that every implementation of stream.Log
// must pass.
package streamtest
