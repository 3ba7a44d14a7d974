package fault

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is the violation of one rule by one field of a document.
type Fault struct {
	// Field is the path of the field, such as "profiles.round-sheet.deadline".
	Field string `json:"field"`
	// Problem describes what is wrong with the value.
	Problem string `json:"problem"`
}

// String returns the fault in the form "field: problem".
func (f Fault) String() string {
	return f.Field + ": " + f.Problem
}

// List holds the faults found in one document. Its zero value is an empty list
// ready to use.
type List []Fault

// Add appends a fault of the given field. The problem is formatted as by
// fmt.Sprintf.
func (l *List) Add(field, format string, args ...any) {
	*l = append(*l, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// AddNested appends the faults of a nested document and prefixes each field with
// path.
func (l *List) AddNested(path string, inner List) {
	for _, f := range inner {
		*l = append(*l, Fault{Field: Join(path, f.Field), Problem: f.Problem})
	}
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}

// Error returns all faults, one per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// FromError returns the List in the chain of err, or nil if there is none.
func FromError(err error) List {
	var l List
	if errors.As(err, &l) {
		return l
	}
	return nil
}

// Join returns the path of a field that is nested in the field at path. Either
// may be empty.
func Join(path, field string) string {
	if path == "" {
		return field
	}
	if field == "" {
		return path
	}
	return path + "." + field
}
