// Package proof is the root of the packages that test and measure the load
// balancer: models of targets and entry nodes, seeded randomised fault tests,
// and benchmarks. It is a separate module, so that the load balancer does not
// depend on the libraries that only these packages need.
package proof
