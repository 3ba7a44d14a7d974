// Package load sends calls as the users' callers do and keeps the callers' own
// account of them: what was told, what came whole, how long it took. Calls come
// at random instants, whether or not earlier ones have ended, through a stand-in
// of the platform's balancer that knows readiness only as of its last look.
package load
