package event

import (
	"os"
	"testing"
)

func TestEventNumbersAndNamesAreUnique(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range Catalogue() {
		if numbers[e.Number] || names[e.Name] {
			t.Errorf("event %d %s: got a duplicate number or name, want both unique", e.Number, e.Name)
		}
		numbers[e.Number], names[e.Name] = true, true
	}
}

func TestEventsPageMatchesCatalogue(t *testing.T) {
	b, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(b), Markdown(); got != want {
		t.Error("docs/EVENTS.md differs from the catalogue; regenerate it with apricotctl events")
	}
}
