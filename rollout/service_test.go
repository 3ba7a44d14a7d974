package rollout

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/profile"
	"github.com/apricotmount/apricotmount/target"
	"github.com/apricotmount/apricotmount/vm"
)

const testRoute profile.Name = "r"

func testTargets(oldCount, newCount int) (targets []vm.VM) {
	for i := range oldCount {
		targets = append(targets, vm.VM{ID: vm.ID(fmt.Sprint("old-", i)), Version: "v1", State: vm.StateLive, Slots: 2})
	}
	for i := range newCount {
		targets = append(targets, vm.VM{ID: vm.ID(fmt.Sprint("new-", i)), Version: "v2", State: vm.StateLive, Slots: 2})
	}
	return targets
}

func testOrder(offset uint64) *Order {
	return &Order{ID: OrderID{Offset: offset, ValueHash: 7}, Service: "a", Version: "v2", Duration: 15 * time.Second}
}

var testFleet = Fleet{CallTimeout: time.Second, NodeCount: 100}

// newObserving returns a service whose order is observed.
func newObserving(now time.Time) *Service {
	s := &Service{}
	s.SetOrder(testOrder(1), testFleet, now)
	s.Advance(testOrder(1).ID, Observing, time.Time{}, now)
	s.Lanes(testTargets(4, 4), now, now)
	return s
}

// Guards against an exposure beyond the order's share in a fleet whose nodes have few calls
// each, and restart: the sum over all nodes must be the share of all calls, for any number
// of nodes.
func TestExposureOfFleetIsItsShare(t *testing.T) {
	now := time.Now()
	for _, nodeCount := range []int{13, 97, 472} {
		const callsPerNode = 15
		sent := 0
		for range nodeCount {
			s := newObserving(now)
			for range callsPerNode {
				if len(s.Targets(testRoute)) > 0 {
					sent++
				}
			}
		}
		calls := float64(nodeCount * callsPerNode)
		// Each node rounds by less than one call, at random.
		deviation := 5 * math.Sqrt(float64(nodeCount)) / 2
		if got, want := float64(sent), defaultBounds.callShare(false)*calls; math.Abs(got-want) > deviation {
			t.Errorf("%d nodes: got %v of %v calls, want %.0f±%.0f", nodeCount, got, calls, want, deviation)
		}
		if limit := DefaultExposureShare*calls + 50; float64(sent) > limit {
			t.Errorf("%d nodes: got %d calls, want at most %.0f", nodeCount, sent, limit)
		}
	}
}

var defaultBounds Bounds

// The planned parts of an order's exposure must leave something for the time until a version
// that shows its fault only during the move is stopped.
func TestPlannedExposureIsWithinOrder(t *testing.T) {
	for _, duration := range []time.Duration{5 * time.Second, 15 * time.Second, time.Hour} {
		o := Order{Duration: duration}
		observed := duration.Seconds() * defaultBounds.callShare(false)
		ramp := o.rampTime().Seconds() * (defaultBounds.callShare(true) - defaultBounds.callShare(false))
		if got, limit := observed+ramp, 0.85*DefaultExposureShare*duration.Seconds(); got > limit {
			t.Errorf("order of %s: got exposure of %.3f seconds of all calls, want at most %.3f", duration, got, limit)
		}
		if begin := o.moveAfter(time.Second); begin >= duration {
			t.Errorf("order of %s: got move after %s, want before the deadline", duration, begin)
		}
	}
}

// Guards against calls to a version in a phase that does not allow them.
func TestLanesByPhase(t *testing.T) {
	now := time.Now()
	for _, test := range []struct {
		phase    Phase
		old, new target.Lane
	}{
		{Pending, target.LaneOpen, target.LaneClosed},
		{Observing, target.LaneOpen, target.LaneCanary},
		{Moving, target.LaneClosed, target.LaneOpen},
		{Stopped, target.LaneOpen, target.LaneClosed},
		{Succeeded, target.LaneClosed, target.LaneOpen},
		{RolledBack, target.LaneOpen, target.LaneClosed},
	} {
		s := &Service{}
		s.SetOrder(testOrder(1), testFleet, now)
		s.Advance(testOrder(1).ID, test.phase, time.Time{}, now)
		lanes, _ := s.Lanes(testTargets(2, 2), now, now)
		if got := lanes["old-0"]; got != test.old {
			t.Errorf("%s: lane of the old version: got %d, want %d", test.phase, got, test.old)
		}
		if got := lanes["new-0"]; got != test.new {
			t.Errorf("%s: lane of the new version: got %d, want %d", test.phase, got, test.new)
		}
	}
}

// Guards against a late message that takes a phase back, and against a version of an
// order that was replaced before its result: it is not known to be good.
func TestPhasesAndOrdersOnlyAdvance(t *testing.T) {
	now := time.Now()
	s := newObserving(now)
	s.Advance(testOrder(1).ID, Stopped, time.Time{}, now)
	s.Advance(testOrder(1).ID, Moving, time.Time{}, now)
	if state, _ := s.State(); state.Phase != Stopped {
		t.Errorf("phase after a stop and a late move: got %s, want stopped", state.Phase)
	}
	next := testOrder(2)
	next.Version = "v3"
	s.SetOrder(next, testFleet, now)
	lanes, _ := s.Lanes(testTargets(2, 2), now, now)
	if got := lanes["new-0"]; got != target.LaneClosed {
		t.Errorf("lane of a version whose order was replaced: got %d, want closed", got)
	}
}

// A peer's state may arrive before the order itself is read from the store.
func TestStateOfUnreadOrderIsKept(t *testing.T) {
	now := time.Now()
	s := &Service{}
	s.Advance(testOrder(1).ID, RolledBack, now.Add(-time.Minute), now)
	s.SetOrder(testOrder(1), testFleet, now)
	if state, _ := s.State(); state.Phase != RolledBack || !state.StartedAt.Before(now) {
		t.Errorf("state: got %s from %s, want rolled-back of a minute ago", state.Phase, now.Sub(state.StartedAt))
	}
}

// Guards against calls to a version whose order is not read yet: its targets are listed
// before.
func TestUnknownVersionIsHeldUntilOperatorTopicIsRead(t *testing.T) {
	now := time.Now()
	s := &Service{Bounds: Bounds{HoldUnknownVersions: true}}
	s.Lanes(testTargets(2, 0), now, now)
	later := now.Add(time.Second)
	if lanes, recheck := s.Lanes(testTargets(2, 2), later, now); lanes["new-0"] != target.LaneClosed || !recheck {
		t.Errorf("lane before the next read: got %d, recheck %v, want closed and true", lanes["new-0"], recheck)
	}
	if lanes, _ := s.Lanes(testTargets(2, 2), later, later.Add(time.Second)); lanes["new-0"] != target.LaneOpen {
		t.Errorf("lane after the next read: got %d, want open", lanes["new-0"])
	}
}

func BenchmarkTargetsWithoutOrder(b *testing.B) {
	s := &Service{}
	b.ReportAllocs()
	for b.Loop() {
		s.Targets(testRoute)
	}
}
