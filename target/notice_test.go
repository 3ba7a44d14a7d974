package target

import (
	"slices"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// picked returns how many of n choices at the given time each target got.
func (f *fixture) picked(now time.Time, n int) map[vm.ID]int {
	return f.runAttempts(now, n, alwaysAnswered)
}

// A target that says on a response that it is about to stop must get nothing more, also
// from reports that were made before and arrive late, until another process has its ID.
func TestTargetThatSaysItLeavesGetsNoAttempts(t *testing.T) {
	var changes []Change
	f := newFixture(t, 2, Settings{ListIsAuthoritative: true, OnChange: func(_ Ref, c Change) { changes = append(changes, c) }})
	f.list[0].Incarnation = 100
	f.SetList(atMs(1), f.list, noneWithdrawn)
	reserved, status := f.Pick(atMs(2), []vm.ID{targetID(1)}, false)
	if status != PickOK || reserved.Ref.ID != targetID(0) {
		t.Fatalf("reservation: got %v %v, want one of t0", reserved.Ref.ID, status)
	}
	leaving := liveReport("a", 1)
	leaving.IsLeaving = true
	f.RecordReport(targetID(0), atMs(3), leaving)
	f.RecordReport(targetID(0), atMs(4), liveReport("a", 0))
	if got := f.picked(atMs(5), 20)[targetID(0)]; got != 0 {
		t.Errorf("attempts at the leaving target: got %d, want none", got)
	}
	if f.CanSend(reserved, atMs(5)) {
		t.Error("attempt reserved before: got it sent, want it stopped")
	}
	changes = slices.DeleteFunc(changes, func(c Change) bool { return c != TargetLeaving })
	if len(changes) != 1 {
		t.Errorf("changes to leaving: got %d, want 1", len(changes))
	}
	f.list[0].Incarnation = 200
	f.SetList(atMs(6), f.list, noneWithdrawn)
	f.Finish(reserved, atMs(7), Answered, leaving)
	if got := f.picked(atMs(8), 20)[targetID(0)]; got == 0 {
		t.Error("attempts at the next process of the target: got none, want some")
	}
}

// A target that asks for a time without requests must get none for so long: no attempt,
// none reserved before, no load query and no probe. Another process at its address, and
// a restarted one, are not held back.
func TestBackedOffTargetIsLeftAlone(t *testing.T) {
	table, now := newQueryTable(2, 0, nil)
	table.RecordReport("near-0", now, detailedReport(0, 0, 1))
	refusal := detailedReport(6, 9, 1)
	refusal.RetryAfter = 1500 * time.Millisecond
	reservation, _ := table.PickWithOptions(now, PickOptions{Exclude: []vm.ID{"near-1"}})
	other, _ := table.PickWithOptions(now, PickOptions{Exclude: []vm.ID{"near-1"}})
	table.Finish(reservation, now, Refused, refusal)
	for _, tt := range []struct {
		afterMs int
		want    PickStatus
	}{{10, PickBackedOff}, {1490, PickBackedOff}, {1510, PickOK}} {
		at := now.Add(time.Duration(tt.afterMs) * time.Millisecond)
		if got := len(table.TargetsToQuery(at, PickOptions{Exclude: []vm.ID{"near-1"}})) > 0; got != (tt.want == PickOK) {
			t.Errorf("after %d ms: got a load query %v, want %v", tt.afterMs, got, tt.want == PickOK)
		}
		if got := table.CanSend(other, at); got != (tt.want == PickOK) {
			t.Errorf("after %d ms: got an earlier attempt sent %v, want %v", tt.afterMs, got, tt.want == PickOK)
		}
	}
	table.RecordReport("near-1", now, Report{RetryAfter: 2 * time.Second})
	if _, status := table.PickWithOptions(now.Add(time.Second), PickOptions{}); status != PickBackedOff {
		t.Errorf("both backed off: got %v, want PickBackedOff", status)
	}
	if got, want := table.BackOffRemaining(now.Add(time.Second)), 500*time.Millisecond; got != want {
		t.Errorf("shortest remaining time: got %v, want %v", got, want)
	}
	table.SetList(now.Add(time.Second), []vm.VM{{ID: "near-0", Address: "n0", Zone: "a", Incarnation: 7}, {ID: "next", Address: "n1", Zone: "a"}}, noneWithdrawn)
	if got := table.BackOffRemaining(now.Add(time.Second)); got != 0 {
		t.Errorf("after a restart and a replacement: got %v to wait, want none", got)
	}
}

// Of several refusals the one that asks for the longest time counts.
func TestShorterBackOffDoesNotReplaceLonger(t *testing.T) {
	f := newFixture(t, 1, Settings{})
	f.RecordReport(targetID(0), atMs(0), Report{RetryAfter: 2 * time.Second})
	f.RecordReport(targetID(0), atMs(100), Report{RetryAfter: 100 * time.Millisecond})
	if got, want := f.BackOffRemaining(atMs(1000)), time.Second; got != want {
		t.Errorf("remaining time: got %v, want %v", got, want)
	}
	if _, ok := f.NextProbeTarget(atMs(1000), time.Millisecond); ok {
		t.Error("probe: got one due, want none while the target is backed off")
	}
}

// An unknown header is reported once, however many responses carry it.
func TestUnknownHeaderIsReportedOnce(t *testing.T) {
	var got []string
	table, now := newQueryTable(2, 0, nil)
	table.settings.OnUnknownHeader = func(_ Ref, name string) { got = append(got, name) }
	report := plainReport(now)
	report.UnknownHeaders = []string{"Server-Pressure"}
	for range 3 {
		table.RecordReport("near-0", now, report)
		table.RecordReport("near-1", now, report)
	}
	if want := []string{"Server-Pressure"}; !slices.Equal(got, want) {
		t.Errorf("headers: got %v, want %v", got, want)
	}
}
