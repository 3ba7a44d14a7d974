// Package settings reads the settings file of an entry node.
//
// The file is YAML. It is checked whole: unknown keys and bad values are all
// reported at once, each with its path. Every key has a default but those that
// say who and where the node is.
package settings
