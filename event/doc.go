// Package event is the catalogue of the program's log events. Every log line
// carries the number of its event, so that an on-call engineer can look it up
// in docs/EVENTS.md, which is printed from this catalogue.
package event
