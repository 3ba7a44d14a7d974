package reach

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/service"
	"github.com/apricotmount/apricotmount/vm"
)

var testEpoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fail records failures of n targets that began at start.
func fail(w *Watch, s service.Name, n int, start, now time.Time) (changes []Change) {
	for i := range n {
		changes = append(changes, w.RecordFailure(Failure{Service: s, Target: vm.ID(fmt.Sprint("i-", i)), TargetCount: 8, StartedAt: start}, now)...)
	}
	return changes
}

func TestPathIsLostAfterSeveralTargetsWereSilent(t *testing.T) {
	w := &Watch{}
	w.RecordResponse("a", testEpoch)
	start := testEpoch.Add(time.Second)
	if changes := fail(w, "a", minSilentTargets, start, start.Add(minSilence/2)); len(changes) != 0 || w.IsLost("a") {
		t.Errorf("right after the failures: got %d changes, want none", len(changes))
	}
	changes := w.Check(start.Add(minSilence))
	if len(changes) != 1 || !changes[0].IsLost || len(changes[0].SilentTargets) != minSilentTargets || !w.IsLost("a") {
		t.Errorf("after the silence: got %+v, want the loss with the silent targets", changes)
	}
	select {
	case <-w.Lost("a").Done():
	default:
		t.Error("channel of the loss: got it open, want it closed")
	}
	if changes := w.RecordResponse("a", start.Add(time.Second)); len(changes) != 1 || changes[0].IsLost || w.IsLost("a") {
		t.Errorf("after a response: got %+v, want the end of the loss", changes)
	}
}

func TestPathIsKeptWhileAnyTargetResponds(t *testing.T) {
	w := &Watch{}
	start := testEpoch
	fail(w, "a", 7, start, start.Add(time.Millisecond))
	w.RecordResponse("a", start.Add(2*time.Millisecond))
	fail(w, "a", 7, start, start.Add(time.Second))
	if w.Check(start.Add(time.Hour)); w.IsLost("a") {
		t.Error("path with a response since the failures began: got it lost, want it kept")
	}
}

func TestFewSilentTargetsAreNoLostPath(t *testing.T) {
	w := &Watch{}
	fail(w, "a", minSilentTargets-1, testEpoch, testEpoch.Add(time.Second))
	if w.IsLost("a") {
		t.Error("some of eight targets silent: got the path lost, want it kept")
	}
	w.RecordFailure(Failure{Service: "small", Target: "i-1", TargetCount: 1, StartedAt: testEpoch}, testEpoch.Add(time.Second))
	if !w.IsLost("small") {
		t.Error("the only target silent: got the path kept, want it lost")
	}
}

// A service with few calls gives little evidence of its own when no target of any service
// responds.
func TestSilenceOfAllServicesCountsTogether(t *testing.T) {
	for _, hasResponse := range []bool{false, true} {
		w := &Watch{}
		fail(w, "a", minSilentTargets-1, testEpoch, testEpoch)
		fail(w, "b", 1, testEpoch, testEpoch)
		if hasResponse {
			w.RecordResponse("c", testEpoch.Add(time.Millisecond))
		}
		w.Check(testEpoch.Add(minSilence))
		if got := w.IsLost("b"); got == hasResponse {
			t.Errorf("path to b with a response of c %t: got lost %t, want %t", hasResponse, got, !hasResponse)
		}
	}
}
