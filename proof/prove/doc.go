// Package prove runs the product's decisions through long seeded random runs,
// with faults alone, together and twice, and looks for broken promises. A
// failure is a scenario and a seed. For each promise there is a mutation, a
// part broken on purpose, which shows that the check can fail.
package prove
