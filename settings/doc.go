// Package settings reads the settings file of an entry node.
//
// The file is YAML. All unknown keys and invalid values are reported together,
// each with its path. Every key has a default except node.vm and node.zone, which
// identify the node.
package settings
