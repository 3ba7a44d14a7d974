// Package unit parses and formats quantities with units in configuration
// documents.
package unit
