// Package routingtest provides the tests that every routing.Chooser must pass.
package routingtest
