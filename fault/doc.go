// Package fault defines validation errors that name the invalid field.
//
// A document is validated completely: each violated rule adds a Fault to a List,
// and the List is returned as a single error.
package fault
