// Package config holds the configuration that all nodes share and the rules by
// which it changes.
//
// Operators publish changes, and each publication names the revision that it is
// based on. The log stream "configuration" orders the publications. ApplyRecord
// is a pure function of the records: all nodes that have applied the records
// before an offset hold the same configuration, whatever their settings, clocks
// or program versions. A publication is accepted if its base is the active
// revision at its position in the stream. Otherwise it is rejected and never
// takes effect.
//
// Two rules are frozen for format 1, because they determine the result of
// ApplyRecord: the check of the base revision, and the check that every service
// refers to an existing profile after the changes. All other rules are checked
// before a publication is appended.
package config
