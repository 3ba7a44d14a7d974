// Package metrics names the program's counters, gauges and histograms and
// serves them in the text form that standard scrapers read.
package metrics
