// Package soak runs entry nodes as separate processes on loopback, in front of
// stand-ins for the platform's store and targets. It injects faults drawn at random
// from one seed: stops, kills and pauses of nodes, link and store faults, and changes
// of targets, zones and configuration. It checks the guarantees of the system against
// what callers and targets observe; a violation is a finding.
package soak
