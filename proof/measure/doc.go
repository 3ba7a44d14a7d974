// Package measure compares the product's target selection, hedging, cold-start
// handling and recovery from overload with baselines in the simulated fleet of
// package model, and checks the results against limits. docs/MEASUREMENTS.md lists
// the commands.
package measure
