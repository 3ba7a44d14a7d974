package admission

import "testing"

// Under overload, clients that retry without delay send twice as many calls as
// the targets can serve. Late calls that would wait until they give up must be
// refused on arrival, and admitted again once waiting late calls are sent.
func TestLateCallLimitAdaptsToSentCalls(t *testing.T) {
	var l LateCallLimiter
	admitted := 0
	for l.TryAcquire() {
		admitted++
	}
	if admitted != initialLateCallLimit {
		t.Fatalf("late calls admitted at first: got %d, want %d", admitted, initialLateCallLimit)
	}
	for range admitted {
		l.Release(false)
	}
	for range 20 {
		if l.TryAcquire() {
			l.Release(false)
		}
	}
	admitted = 0
	for l.TryAcquire() {
		admitted++
	}
	if admitted != 1 {
		t.Errorf("late calls admitted after others gave up: got %d, want 1", admitted)
	}
	for range 100 {
		l.Release(true)
		if !l.TryAcquire() {
			t.Fatal("late call after others were sent: got refused, want admitted")
		}
	}
	for l.TryAcquire() {
		admitted++
	}
	if admitted < initialLateCallLimit {
		t.Errorf("late calls admitted after many were sent: got %d, want %d at least", admitted, initialLateCallLimit)
	}
}
