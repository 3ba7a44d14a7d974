// Package profile defines traffic profiles: the urgency, time limits, retries,
// hedging and idempotency rules of a kind of traffic.
//
// Operators publish profiles and each service references one, which applies to
// all calls of the service. Callers do not set the urgency of a call. A Document
// is the form that operators write. Parse validates all of it and returns a
// Profile, the form that the rest of the program uses.
package profile
