// Package tenant finds the tenant of a call by its API key.
//
// The directory of a configuration is immutable and holds digests of the keys, salted for
// each process, so that neither a listing nor a dump of it shows a key. Right and wrong keys
// take the same time to look up.
package tenant
