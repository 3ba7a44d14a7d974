// Package prove checks invariants of the load balancer in long randomised runs
// with fault injection: single, combined and repeated faults. A run is
// determined by its scenario and seed, except for the load balancer's own jitter,
// which is not seeded; a failure is reported as this pair. Each check has a
// mutation, a deliberate defect that the check must detect, which shows that the
// check can fail.
package prove
