// Package document reads YAML that people write, strictly: every unknown key
// and every value of the wrong kind is reported, with its path, in one go.
package document
