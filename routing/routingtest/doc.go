// Package routingtest holds the tests that every routing.Chooser must pass.
package routingtest
