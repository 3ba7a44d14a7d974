// Package replytest has a server that answers requests with bytes of its own, as servers in trouble
// do: responses that break off, that are none, and that never end.
package replytest
