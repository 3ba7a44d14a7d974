// Package measure measures the product's decisions; docs/MEASUREMENTS.md lists
// the commands.
package measure
