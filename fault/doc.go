// Package fault holds errors that name the field at fault.
//
// A document that people write is checked whole: every rule adds its fault to
// one List, and the List is returned as a single error.
package fault
