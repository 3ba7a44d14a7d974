// Package unit reads quantities that people write with their units.
package unit
