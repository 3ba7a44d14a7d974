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

// Decode reads YAML (of which JSON is a part) into the struct that v points to.
// The error is a fault.List that names each key at fault. If the only faults are
// unknown keys, v holds the rest all the same, so that its values can be checked
// in the same go.
func Decode(b []byte, v any) (err error) {
	var faults fault.List
	var tree any
	if err := unmarshal(b, &tree); err != nil {
		faults.Add("document", "is not YAML: %s", firstLine(err))
		return faults
	}
	if tree == nil {
		return nil
	}
	check(tree, reflect.TypeOf(v).Elem(), "", &faults)
	if err := unmarshal(b, v); err != nil && len(faults) == 0 {
		faults.Add("document", "%s", firstLine(err))
	}
	return faults.Err()
}

// unmarshal reads YAML; the library panics on some malformed documents, which
// is a fault of the document here.
func unmarshal(b []byte, v any) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = eris.Errorf("cannot be read: %v", r)
		}
	}()
	return yaml.Unmarshal(b, v)
}

// unknownKey is the problem of a key that no field takes.
const unknownKey = "is not a known key"

// OnlyUnknownKeys reports whether an error of Decode says nothing but that keys
// are unknown.
func OnlyUnknownKeys(err error) bool {
	for _, f := range fault.FromError(err) {
		if f.Problem != unknownKey {
			return false
		}
	}
	return true
}

func firstLine(err error) string {
	line, _, _ := strings.Cut(err.Error(), "\n")
	return line
}

// check holds a tree against the type it is meant for.
func check(tree any, t reflect.Type, path string, faults *fault.List) {
	if tree == nil {
		return
	}
	switch t.Kind() {
	case reflect.Pointer:
		check(tree, t.Elem(), path, faults)
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
		faults.Add(named(path), "must hold keys and values")
		return
	}
	fields := fieldsOf(t)
	for _, key := range sortedKeys(m) {
		f, known := fields[key]
		if !known {
			faults.Add(fault.Join(path, key), unknownKey)
			continue
		}
		check(m[key], f, fault.Join(path, key), faults)
	}
}

func checkSlice(tree any, t reflect.Type, path string, faults *fault.List) {
	list, ok := tree.([]any)
	if !ok {
		faults.Add(named(path), "must be a list")
		return
	}
	for i, item := range list {
		check(item, t.Elem(), fmt.Sprintf("%s[%d]", path, i), faults)
	}
}

func checkMap(tree any, t reflect.Type, path string, faults *fault.List) {
	m, ok := tree.(map[string]any)
	if !ok {
		faults.Add(named(path), "must hold keys and values")
		return
	}
	for _, key := range sortedKeys(m) {
		check(m[key], t.Elem(), fault.Join(path, key), faults)
	}
}

func checkScalar(tree any, t reflect.Type, path string, faults *fault.List) {
	got := reflect.ValueOf(tree).Kind()
	switch {
	case t.Kind() == reflect.String && (got == reflect.Map || got == reflect.Slice):
		faults.Add(named(path), "must be a text")
	case t.Kind() == reflect.Bool && got != reflect.Bool:
		faults.Add(named(path), "must be true or false, not %v", tree)
	case isInteger(t.Kind()) && !isInteger(got):
		faults.Add(named(path), "must be a whole number, not %v", tree)
	case isUnsigned(t.Kind()) && isInteger(got) && strings.HasPrefix(fmt.Sprint(tree), "-"):
		faults.Add(named(path), "must not be negative, not %v", tree)
	case t.Kind() == reflect.Float64 && !isInteger(got) && got != reflect.Float64:
		faults.Add(named(path), "must be a number, not %v", tree)
	}
}

func isInteger(k reflect.Kind) bool {
	return k >= reflect.Int && k <= reflect.Uint64
}

func isUnsigned(k reflect.Kind) bool {
	return k >= reflect.Uint && k <= reflect.Uint64
}

// fieldsOf maps the YAML keys of a struct to the types of their values.
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

func named(path string) string {
	if path == "" {
		return "document"
	}
	return path
}
