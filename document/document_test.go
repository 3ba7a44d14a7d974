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

func TestDecode(t *testing.T) {
	tests := []struct {
		name, text string
		fields     string
	}{
		{"empty", "", ""},
		{"sound", "name: a\non: true\nbase: 3\ninner: {count: 2, share: 0.5}\nlist: [{count: 1}]\nnames: [x]", ""},
		{"json", `{"name": "a", "inner": {"count": 2}}`, ""},
		{"number as text", "name: 5", ""},
		{"unknown keys, all at once", "nam: a\ninner: {cuont: 1}\nlist: [{count: 1}, {x: 1}]", "inner.cuont list[1].x nam"},
		{"wrong kinds, all at once", "on: maybe\ninner: {count: many, share: half}\nnames: x\nbase: -1", "base inner.count inner.share names on"},
		{"not keys", "[1, 2]", "document"},
		{"not yaml", "a: [", "document"},
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

func FuzzDecode(f *testing.F) {
	f.Add([]byte("name: a\nlist: [{count: 1}]"))
	f.Fuzz(func(t *testing.T, b []byte) {
		var v outer
		if err := Decode(b, &v); err != nil && len(fault.FromError(err)) == 0 {
			t.Errorf("error: got %v, want a list of faults", err)
		}
	})
}
