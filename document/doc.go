// Package document decodes YAML configuration documents strictly. It reports
// every unknown key and every value of the wrong type, with its path, in a single
// error.
package document
