package document

import (
	"strings"
	"testing"

	"github.com/apricotmount/apricotmount/fault"
)

type inner struct {
	Count int     `yaml:"count"`
	Share float64 `yaml:"share"`
}

type outer struct {
	Name  string   `yaml:"name"`
	On    bool     `yaml:"on"`
	Base  *uint64  `yaml:"base"`
	Inner inner    `yaml:"inner"`
	List  []inner  `yaml:"list"`
	Names []string `yaml:"names"`
}

func TestDecodeReportsInvalidFields(t *testing.T) {
	tests := []struct {
		name, text string
		fields     string
	}{
		{"empty document is valid", "", ""},
		{"valid document", "name: a\non: true\nbase: 3\ninner: {count: 2, share: 0.5}\nlist: [{count: 1}]\nnames: [x]", ""},
		{"JSON is valid", `{"name": "a", "inner": {"count": 2}}`, ""},
		{"number is valid for a text field", "name: 5", ""},
		{"all unknown keys are reported", "nam: a\ninner: {cuont: 1}\nlist: [{count: 1}, {x: 1}]", "inner.cuont list[1].x nam"},
		{"all wrong types are reported", "on: maybe\ninner: {count: many, share: half}\nnames: x\nbase: -1", "base inner.count inner.share names on"},
		{"list instead of mapping", "[1, 2]", "document"},
		{"malformed YAML", "a: [", "document"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var v outer
			var fields []string
			for _, f := range fault.FromError(Decode([]byte(tt.text), &v)) {
				fields = append(fields, f.Field)
			}
			if got := strings.Join(fields, " "); got != tt.fields {
				t.Errorf("fields: got %q, want %q", got, tt.fields)
			}
		})
	}
}

// Decode must not panic on any input, and each of its errors must hold faults.
func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: a\nlist: [{count: 1}]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var v outer
		if err := Decode(b, &v); err != nil && len(fault.FromError(err)) == 0 {
			t.Errorf("error: got %v, want a list of faults", err)
		}
	})
}
