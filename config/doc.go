// Package config holds the configuration that all nodes share and the rules by
// which it changes.
//
// Operators publish changes; each publication names the revision it is based
// on. The stream "configuration" of the platform's log orders them. Fold is a
// pure function of the records: every node that has folded the records before
// an offset holds the same configuration, whatever its settings, clock or
// program version. A publication is accepted where it stands in the stream if
// its base is the revision in force there, and is void for ever otherwise.
//
// Rules frozen for format 1, because they decide the fold: the base check, and
// that after the changes every service names a profile that exists. All other
// rules are checked before a publication is appended.
package config
