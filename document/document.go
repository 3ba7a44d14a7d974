package document

import (
	"fmt"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/rotisserie/eris"

	"github.com/apricotmount/apricotmount/fault"
)

// Decode decodes YAML, of which JSON is a subset, into the struct that v points
// to. The error is a fault.List with every invalid key. If all faults are unknown
// keys, v holds the values of the other keys, so that the caller can validate
// these and report all faults together.
func Decode(b []byte, v any) (err error) {
	var faults fault.List
	var tree any
	if err := Unmarshal(b, &tree); err != nil {
		faults.Add("document", "is not YAML: %s", firstLine(err))
		return faults
	}
	if tree == nil {
		return nil
	}
	checkValue(tree, reflect.TypeOf(v).Elem(), "", &faults)
	if err := Unmarshal(b, v); err != nil && len(faults) == 0 {
		faults.Add("document", "%s", firstLine(err))
	}
	return faults.Err()
}

// Unmarshal decodes YAML and ignores unknown keys. The library panics on some malformed
// documents, and needs much memory for deeply nested ones; both are returned as errors.
func Unmarshal(b []byte, v any) (err error) {
	if isTooDeep(b) {
		return eris.Errorf("is nested deeper than %d levels", maxNestingDepth)
	}
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("cannot be read: %v", r)
		}
	}()
	return yaml.Unmarshal(b, v)
}

// unknownKeyProblem is the Problem of a fault for a key without a struct field.
const unknownKeyProblem = "is not a known key"

// OnlyUnknownKeys reports whether all faults in an error of Decode are unknown
// keys. It returns true if err holds no fault.
func OnlyUnknownKeys(err error) bool {
	for _, f := range fault.FromError(err) {
		if f.Problem != unknownKeyProblem {
			return false
		}
	}
	return true
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// checkValue adds a fault for each part of a decoded YAML tree that does not match
// type t.
func checkValue(tree any, t reflect.Type, path string, faults *fault.List) {
	if tree == nil {
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		checkValue(tree, t.Elem(), path, faults)
	case reflect.Struct:
		checkStruct(tree, t, path, faults)
	case reflect.Slice:
		checkSlice(tree, t, path, faults)
	case reflect.Map:
		checkMap(tree, t, path, faults)
	default:
		checkScalar(tree, t, path, faults)
	}
}

func checkStruct(tree any, t reflect.Type, path string, faults *fault.List) {
	m, ok := tree.(map[string]any)
	if !ok {
		faults.Add(fieldName(path), "must hold keys and values")
		return
	}
	fields := fieldsOf(t)
	for _, key := range sortedKeys(m) {
		f, known := fields[key]
		if !known {
			faults.Add(fault.Join(path, key), unknownKeyProblem)
			continue
		}
		checkValue(m[key], f, fault.Join(path, key), faults)
	}
}

func checkSlice(tree any, t reflect.Type, path string, faults *fault.List) {
	list, ok := tree.([]any)
	if !ok {
		faults.Add(fieldName(path), "must be a list")
		return
	}
	for i, item := range list {
		checkValue(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i), faults)
	}
}

func checkMap(tree any, t reflect.Type, path string, faults *fault.List) {
	m, ok := tree.(map[string]any)
	if !ok {
		faults.Add(fieldName(path), "must hold keys and values")
		return
	}
	for _, key := range sortedKeys(m) {
		checkValue(m[key], t.Elem(), fault.Join(path, key), faults)
	}
}

func checkScalar(tree any, t reflect.Type, path string, faults *fault.List) {
	got := reflect.ValueOf(tree).Kind()
	switch {
	case t.Kind() == reflect.String && (got == reflect.Map || got == reflect.Slice):
		faults.Add(fieldName(path), "must be a text")
	case t.Kind() == reflect.Bool && got != reflect.Bool:
		faults.Add(fieldName(path), "must be true or false, not %v", tree)
	case isInteger(t.Kind()) && !isInteger(got):
		faults.Add(fieldName(path), "must be a whole number, not %v", tree)
	case isUnsigned(t.Kind()) && isInteger(got) && strings.HasPrefix(fmt.Sprint(tree), "-"):
		faults.Add(fieldName(path), "must not be negative, not %v", tree)
	case t.Kind() == reflect.Float64 && !isInteger(got) && got != reflect.Float64:
		faults.Add(fieldName(path), "must be a number, not %v", tree)
	}
}

func isInteger(k reflect.Kind) bool {
	return k >= reflect.Int && k <= reflect.Uint64
}

func isUnsigned(k reflect.Kind) bool {
	return k >= reflect.Uint && k <= reflect.Uint64
}

// fieldsOf returns the types of a struct's fields by YAML key, including the keys
// of inlined structs.
func fieldsOf(t reflect.Type) map[string]reflect.Type {
	fields := map[string]reflect.Type{}
	for i := range t.NumField() {
		f := t.Field(i)
		tag, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if options == "inline" {
			for k, v := range fieldsOf(f.Type) {
				fields[k] = v
			}
			continue
		}
		if tag != "" && tag != "-" {
			fields[tag] = f.Type
		}
	}
	return fields
}

func sortedKeys(m map[string]any) []string {
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	return keys
}

func fieldName(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
