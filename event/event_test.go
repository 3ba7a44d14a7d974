package event

import (
	"os"
	"testing"
)

// TestCatalogue checks that numbers and names are given once.
func TestCatalogue(t *testing.T) {
	numbers, names := map[int]bool{}, map[string]bool{}
	for _, e := range Catalogue() {
		if numbers[e.Number] || names[e.Name] {
			t.Errorf("event %d %s is given twice", e.Number, e.Name)
		}
		numbers[e.Number], names[e.Name] = true, true
	}
}

// TestDocIsUpToDate holds docs/EVENTS.md against the catalogue.
func TestDocIsUpToDate(t *testing.T) {
	b, err := os.ReadFile("../docs/EVENTS.md")
	if err != nil {
		t.Fatal(err)
	}
	if got, want := string(b), Markdown(); got != want {
		t.Error("docs/EVENTS.md differs from the catalogue; print it with apricotctl events")
	}
}
