// Package load generates calls like those of the users' callers and records each
// one: its reported outcome, whether the response was complete, and its latency.
// The load is open-loop: calls are sent at random times, whether or not earlier
// calls have ended. They pass through a stand-in for the platform's balancer, which
// uses the readiness of each node as of its last check.
package load
