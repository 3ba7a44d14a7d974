package fault

import (
	"errors"
	"fmt"
	"strings"
)

// Fault is one rule broken by one field of a document.
type Fault struct {
	// Field is the path of the field, such as "profiles.round-sheet.deadline".
	Field string `json:"field"`
	// Problem says what is wrong with the value.
	Problem string `json:"problem"`
}

// String returns the fault as "field: problem".
func (f Fault) String() string {
	return f.Field + ": " + f.Problem
}

// List is every fault found in one document; its zero value is empty and ready.
type List []Fault

// Add appends a fault of the given field.
func (l *List) Add(field, format string, args ...any) {
	*l = append(*l, Fault{Field: field, Problem: fmt.Sprintf(format, args...)})
}

// Under appends the faults of an inner document, each field prefixed by path.
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

// Error returns all faults, one a line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Of returns the faults an error holds, or nil if it is not a List.
func FromError(err error) List {
	var l List
	if errors.As(err, &l) {
		return l
	}
	return nil
}

// Join returns the path of a field inside an outer field.
func Join(path, field string) string {
	if path == "" {
		return field
	}
	if field == "" {
		return path
	}
	return path + "." + field
}
