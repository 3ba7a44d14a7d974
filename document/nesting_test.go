package document

import (
	"strings"
	"testing"

	"github.com/apricotmount/apricotmount/fault"
)

// Deep nesting made the decoder use memory that grows with the square of the depth, until the
// process ended. Brackets in texts must neither hide nesting nor count as such.
func TestDeepNestingIsRefused(t *testing.T) {
	for _, depth := range []int{200, 1000, 100_000, 500_000} {
		for _, text := range []string{
			strings.Repeat("[", depth), strings.Repeat("[", depth) + strings.Repeat("]", depth), strings.Repeat(`{"a":`, depth), strings.Repeat("- ", depth) + "1",
			strings.Repeat("[[],", depth), strings.Repeat(`["]",`, depth), strings.Repeat(`[']',`, depth), strings.Repeat(`["\"]",`, depth), "a: 'it'\nb: it's\nc: " + strings.Repeat("[", depth),
			"names: " + strings.Repeat("[", depth) + strings.Repeat("]", depth),
		} {
			var v outer
			got := fault.FromError(Decode([]byte(text), &v))
			if len(got) != 1 || got[0].Field != "document" || len(got[0].Problem) > 200 {
				t.Errorf("%q, %d times: got %v, want one short fault of the document", text[:4], depth, got)
			}
		}
	}
	for _, text := range []string{"]", "[]", `"[", `} {
		document := "names: [" + strings.Repeat("'"+text[:1]+"', ", 1000) + "x]\nlist: [" + strings.Repeat("{count: 1}, ", 1000) + "{count: 2}]\n" + strings.Repeat("# don't [\n", 50)
		var v outer
		if err := Decode([]byte(document), &v); err != nil || len(v.Names) != 1001 || len(v.List) != 1001 {
			t.Errorf("document with texts %q: got %d names, %d items and error %v, want 1001 of each", text, len(v.Names), len(v.List), err)
		}
	}
}
