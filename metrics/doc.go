// Package metrics registers the program's counters, gauges and histograms and
// serves them in the Prometheus text format.
//
// All metric names have the prefix "apricotmount". Counters with a fixed set of
// labels exist from the start with the value 0. Gauges show the last state that
// was set.
package metrics
