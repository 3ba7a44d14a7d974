package gateway

import (
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/vm"
)

// After many nodes were killed at once each knows itself, or few others, for seconds. What
// the fleet may do in total must be divided by the number of nodes that the store told, not
// by those known.
func TestLimitsAreDividedByFleetSizeThatStoreTold(t *testing.T) {
	const fleet = 133
	self, other := vm.VM{ID: "self"}, vm.VM{ID: "other"}
	for _, tt := range []struct {
		name     string
		known    []vm.VM
		told     int
		runsFor  time.Duration
		wantSize int
	}{
		{"alone, not told yet", []vm.VM{self}, 0, time.Second, assumedNodeCount},
		{"alone, first to join", []vm.VM{self}, 1, time.Second, assumedNodeCount},
		{"alone, told", []vm.VM{self}, fleet, time.Second, fleet},
		{"few known, told", []vm.VM{self, other}, fleet, time.Second, fleet},
		{"told before others joined", []vm.VM{self, other}, 1, time.Second, 2},
		{"a fleet of one node", []vm.VM{self}, 1, time.Hour, 1},
		{"store not reached", []vm.VM{self}, 0, time.Hour, assumedNodeCount},
	} {
		now := time.Now()
		n := &Node{startedAt: now.Add(-tt.runsFor)}
		n.estimateFleet(tt.told)
		if got := n.fleetSize(tt.known, now); got != tt.wantSize {
			t.Errorf("%s: got a fleet of %d, want %d", tt.name, got, tt.wantSize)
		}
	}
	limit := ExtraAttemptLimit{AttemptsPerCall: 0.2, BaseAttempts: 600, Window: 10 * time.Second}
	n := &Node{startedAt: time.Now()}
	n.estimateFleet(fleet)
	share := limit.share(n.fleetSize([]vm.VM{self}, time.Now()))
	if got := fleet * (share.Burst + share.TokensPerSecond*limit.Window.Seconds()); got > limit.BaseAttempts*1.01 {
		t.Errorf("extra attempts of all nodes in a window: got %.0f, want at most %.0f", got, limit.BaseAttempts)
	}
}
