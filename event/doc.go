// Package event defines the catalogue of log events and a non-blocking log sink.
//
// Every log line carries the number of its event, so that an on-call engineer can
// look it up in docs/EVENTS.md, which is generated from the catalogue.
package event
