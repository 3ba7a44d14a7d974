package wire

import (
	"strings"
	"testing"
)

// A response of a target with very many header lines took many times its bytes in memory. Those of
// interim responses and of earlier responses do not count.
func TestResponseWithManyLinesIsRejected(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\nLink: b\r\n\r\n"
	head := func(lines int) string { return "HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\n", lines) }
	tests := []struct {
		name, text string
		want       error
	}{
		{"at the limit", head(4) + "\r\n", nil},
		{"beyond the limit", head(5) + "\r\n", errTooManyLines},
		{"without end", head(100), errTooManyLines},
		{"lines of the body", head(4) + "\r\n" + strings.Repeat("line\n", 100), nil},
		{"behind interim responses", interim + interim + head(4) + "\r\nbody\n\nline\nline\nline\nline\nline\n", nil},
		{"too many behind an interim response", interim + head(5), errTooManyLines},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 3, len(tt.text)} {
			r := responseHead{maxLines: 4}
			for range 2 {
				r.begin()
				var got error
				for rest := tt.text; rest != "" && got == nil; rest = rest[min(size, len(rest)):] {
					got = r.add([]byte(rest[:min(size, len(rest))]))
				}
				if got != tt.want {
					t.Errorf("%s, in pieces of %d bytes: got %v, want %v", tt.name, size, got, tt.want)
				}
			}
		}
	}
}
