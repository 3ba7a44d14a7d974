package admission

import "testing"

// The load: clients that repeat at once press twice what the targets bear. Late
// calls that would wait in vain are turned away on arrival, and let in again once
// some get through.
func TestOverflowFollowsWhatGetsThrough(t *testing.T) {
	var o Overflow
	admitted := 0
	for o.Enter() {
		admitted++
	}
	if admitted != initialOverflowLimit {
		t.Fatalf("first waits: got %d, want %d", admitted, initialOverflowLimit)
	}
	for range admitted {
		o.Leave(false)
	}
	for range 20 {
		if o.Enter() {
			o.Leave(false)
		}
	}
	admitted = 0
	for o.Enter() {
		admitted++
	}
	if admitted != 1 {
		t.Errorf("waits after vain ones: got %d, want 1", admitted)
	}
	for range 100 {
		o.Leave(true)
		if !o.Enter() {
			t.Fatal("refused although calls get through")
		}
	}
	for o.Enter() {
		admitted++
	}
	if admitted < initialOverflowLimit {
		t.Errorf("waits after many got through: got %d, want %d at least", admitted, initialOverflowLimit)
	}
}
