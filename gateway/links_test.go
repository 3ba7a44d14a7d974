package gateway

import (
	"fmt"
	"testing"
	"time"

	"github.com/apricotmount/apricotmount/member"
	"github.com/apricotmount/apricotmount/peer"
	"github.com/apricotmount/apricotmount/vm"
	"github.com/apricotmount/apricotmount/zone"
)

// TestDialsBetweenZones counts the links between zones that a fleet of three zones
// asks for. While the store is down all nodes hear nothing new; that must not make
// each of them dial every zone.
func TestDialsBetweenZones(t *testing.T) {
	const inZone, zones = 40, 3
	var nodes []vm.VM
	for i := range inZone * zones {
		nodes = append(nodes, vm.VM{ID: vm.ID(fmt.Sprintf("node-%03d", i)), Address: vm.Address(fmt.Sprint("a-", i)), Zone: zone.Name(fmt.Sprint("z-", i%zones))})
	}
	tests := []struct {
		name    string
		silence time.Duration
		linked  bool
		want    int
	}{
		{"calm", 0, true, 1},
		{"the store is down", outageThreshold + time.Second, true, 2},
		{"the store is down for long", 3*outageThreshold + time.Second, true, 8},
		{"a node that has just started", 0, false, 1},
		{"heard while the time was looked up", -2 * outageThreshold, true, 1},
		{"no link at all", outageThreshold + time.Second, false, inZone},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			between := 0
			for i, self := range nodes {
				n := &Node{self: self, settings: Settings{Zone: self.Zone}, hub: &peer.Hub{Self: member.Incarnation(i + 1)}}
				between += len(n.selectPeers(nodes, tt.silence, tt.linked)) - localLinkCount
			}
			if got, want := between, tt.want*zones*(zones-1); got != want {
				t.Errorf("links between zones: got %d, want %d", got, want)
			}
		})
	}
}
