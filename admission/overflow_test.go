package admission

import "testing"

// When clients retry at once under overload, twice as many calls arrive as the
// targets can serve. Late calls that would wait until they give up must be
// refused on arrival, and admitted again once some of them are sent.
func TestOverflowLimitAdaptsToSentCalls(t *testing.T) {
	var o LateCallLimiter
	admitted := 0
	for o.TryAcquire() {
		admitted++
	}
	if admitted != initialOverflowLimit {
		t.Fatalf("late calls admitted at first: got %d, want %d", admitted, initialOverflowLimit)
	}
	for range admitted {
		o.Release(false)
	}
	for range 20 {
		if o.TryAcquire() {
			o.Release(false)
		}
	}
	admitted = 0
	for o.TryAcquire() {
		admitted++
	}
	if admitted != 1 {
		t.Errorf("late calls admitted after others gave up: got %d, want 1", admitted)
	}
	for range 100 {
		o.Release(true)
		if !o.TryAcquire() {
			t.Fatal("late call after others were sent: got refused, want admitted")
		}
	}
	for o.TryAcquire() {
		admitted++
	}
	if admitted < initialOverflowLimit {
		t.Errorf("late calls admitted after many were sent: got %d, want %d at least", admitted, initialOverflowLimit)
	}
}
